import type { TaskReport } from '../../src/core/ownership/TaskReport.js';

/** A line of the journal of what actually ran, which tests use as the reference. */
export type JournalLine = { seq: number; at: number; wall: number } & (
  | ({ kind: 'taskStarted' | 'taskEnded' } & Omit<TaskReport, 'checkpoint' | 'ranMs'>)
  | {
      kind: 'requestStarted' | 'requestEnded';
      attemptId: string | null;
      siskinRequest: string | null;
      method: string;
      path: string;
      /** Set when the request ends; `interrupted` if the caller did not get the whole answer. */
      outcome?: 'answered' | 'interrupted';
    }
);
