/**
 * One record of the `usage` stream. Ids are deterministic, so that readers drop repeated appends.
 */
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
      /**
       * An interval, in epoch milliseconds, in which it is not known whether the task ran. The run
       * time in it is never estimated.
       */
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
      /** Short requests of one workspace in one counting interval of one gateway process. */
      kind: 'requests';
      id: string;
      workspace: string;
      answered: number;
      failed: number;
      unknown: number;
      /** Sum of the durations in milliseconds. */
      busyMs: number;
      /** Epoch milliseconds of the interval's end. */
      wall: number;
    }
  | {
      /** An interval whose request counts may be lost with a gateway; epoch milliseconds. */
      kind: 'requestsUnknown';
      id: string;
      workspace: string;
      gateway: string;
      fromWall: number;
      toWall: number;
    }
  | {
      /** Difference between the worker's final report and the recorded run time. */
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
