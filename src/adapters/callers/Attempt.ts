import type { Dispatcher } from 'undici';

/** One dispatch to a worker. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  controller: Dispatcher.DispatchController | null;
  /** How far the attempt has come; decides what a failure means. */
  phase: 'notSent' | 'sent' | 'headers';
  status: number;
  headers: Record<string, string | string[]>;
  /** Whether the core gave the attempt up; one that is still connecting must not be written. */
  abandoned: boolean;
  /** Whether the core let the answer through to the caller. */
  relayed: boolean;
}
