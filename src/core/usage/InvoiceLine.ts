/** One line of a job on an invoice; times are epoch milliseconds. */
export type InvoiceLine =
  | {
      kind: 'run';
      taskId: string;
      accelerators: number;
      fromWall: number;
      toWall: number;
      acceleratorMs: number;
    }
  | {
      kind: 'correction';
      id: string;
      taskId: string;
      accelerators: number;
      /** Milliseconds of run time added by the correction; may be negative. */
      deltaMs: number;
      /** Time at which the correction was recorded. */
      wall: number;
      /** Negative if the worker ran the task for less time than was recorded. */
      acceleratorMs: number;
    };
