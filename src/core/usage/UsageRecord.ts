/** One line of the usage record; the id is deterministic, so a repeated append is read once. */
export type UsageRecord =
  | {
      kind: 'taskStarted' | 'taskEnded';
      id: string;
      workspace: string;
      jobId: string;
      taskId: string;
      workerId: string;
      accelerators: number;
      /** Epoch milliseconds. */
      wall: number;
    }
  | {
      /** Use in this interval is not known; it is never guessed. */
      kind: 'taskUnknown';
      id: string;
      workspace: string;
      jobId: string;
      taskId: string;
      workerId: string;
      accelerators: number;
      fromWall: number;
      toWall: number;
    }
  | {
      /** Short requests of one workspace in one minute, as counted by one gateway process. */
      kind: 'requests';
      id: string;
      workspace: string;
      answered: number;
      failed: number;
      unknown: number;
      busyMs: number;
      wall: number;
    }
  | {
      /** Counts of short requests that a lost gateway had not handed on. */
      kind: 'requestsUnknown';
      id: string;
      workspace: string;
      gateway: string;
      fromWall: number;
      toWall: number;
    }
  | {
      /** The worker's late report differs from what was recorded. */
      kind: 'correction';
      id: string;
      workspace: string;
      jobId: string;
      taskId: string;
      accelerators: number;
      /** Milliseconds to add to the recorded run time; may be negative. */
      deltaMs: number;
      wall: number;
    };
