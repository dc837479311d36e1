import type { Dispatcher } from 'undici';

/** One attempt to get a response to a request from a worker. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  /** Null until the request is sent. */
  controller: Dispatcher.DispatchController | null;
  /** Progress of the attempt; decides whether the request may have run when it fails. */
  phase: 'notSent' | 'sent' | 'headers';
  /** HTTP status of the response; 0 until its headers arrive. */
  status: number;
  /** Headers of the response that are forwarded. */
  headers: Record<string, string | string[]>;
  /** Whether the core abandoned the attempt; if it is still connecting, it must not be sent. */
  abandoned: boolean;
  /** Whether the response is being relayed to the caller. */
  relayed: boolean;
}
