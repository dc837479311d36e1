/** An order to a worker, or a look at it that renews its lease. */
export type WorkerCall =
  | {
      type: 'start';
      task: string;
      run: number;
      spec: string;
      /** The worker's clock time after which it refuses this start. */
      expiresAt: number;
      checkpoint: string;
    }
  | { type: 'stop'; task: string; run: number }
  | {
      type: 'hold';
      /** The worker's clock time up to which its lease lasts; null renews nothing. */
      expiresAt: number | null;
      /** Ends up to this number are written down. */
      acknowledgedEnd: number;
      /** How long the answer may wait for an end. */
      waitMs: number;
    };
