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
      deltaMs: number;
      wall: number;
      /** Negative when the worker ran the task for less time than was recorded. */
      acceleratorMs: number;
    };
