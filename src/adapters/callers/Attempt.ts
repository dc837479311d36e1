import type { Dispatcher } from 'undici';

/** One attempt to have a worker serve a request. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  controller: Dispatcher.DispatchController | null;
  /** Progress of the attempt; decides whether the request may have run when it fails. */
  phase: 'notSent' | 'sent' | 'headers';
  status: number;
  headers: Record<string, string | string[]>;
  /** Whether the core abandoned the attempt; if it is still connecting, it must not be sent. */
  abandoned: boolean;
  /** Whether the response is being relayed to the caller. */
  relayed: boolean;
}
