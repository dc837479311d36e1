/** A call to a worker: a command to start or stop a run, or a poll, which can renew its lease. */
export type WorkerCall =
  | {
      type: 'start';
      task: string;
      run: number;
      spec: string;
      /** Time on the worker's clock after which it refuses the start. */
      expiresAt: number;
      /** Checkpoint from which the run resumes, or empty. */
      checkpoint: string;
    }
  | { type: 'stop'; task: string; run: number }
  | {
      type: 'poll';
      /** Time on the worker's clock at which its lease expires; null doesn't renew the lease. */
      expiresAt: number | null;
      /** Acknowledges the run ends up to this number; 0 acknowledges none. */
      acknowledgedEnd: number;
      /** How long the worker may hold the answer until a run ends. */
      waitMs: number;
    };
