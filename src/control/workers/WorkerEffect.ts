import type { WorkerCall } from './WorkerCall.js';

/** A call to a worker, or a change of the connections to workers. */
export type WorkerEffect =
  | {
      type: 'callWorker';
      workerId: string;
      address: string;
      /** Fencing token, which rises with the leader's term and with the worker's incarnation. */
      token: number;
      call: WorkerCall;
      timeoutMs: number;
    }
  /** Closes the connections to a former incarnation of a worker. */
  | { type: 'closeWorkerConnections'; address: string };
