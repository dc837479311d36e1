import type { WorkerCall } from './WorkerCall.js';

/** A call to a worker, or a change of the connections to workers. */
export type WorkerEffect =
  | {
      type: 'callWorker';
      workerId: string;
      address: string;
      /** Fencing token of the leader's term. */
      token: number;
      call: WorkerCall;
      timeoutMs: number;
    }
  /** Closes the connections to a former incarnation of a worker. */
  | { type: 'closeWorkerConnections'; address: string };
