import type { WorkerCall } from './WorkerCall.js';

/** Calls to workers. */
export type WorkerEffect =
  | {
      type: 'callWorker';
      workerId: string;
      address: string;
      token: number;
      call: WorkerCall;
      timeoutMs: number;
    }
  /** Closes the connections to an address that is no longer used. */
  | { type: 'forgetWorker'; address: string };
