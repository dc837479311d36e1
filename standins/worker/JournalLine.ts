import type { TaskReport } from '../../src/core/ownership/TaskReport.js';

/** One line of the truthful journal that tests compare with. */
export type JournalLine = { seq: number; at: number; wall: number } & (
  | ({ kind: 'taskStarted' | 'taskEnded' } & Omit<TaskReport, 'checkpoint' | 'ranMs'>)
  | {
      kind: 'requestStarted' | 'requestEnded';
      attemptId: string | null;
      siskinRequest: string | null;
      method: string;
      path: string;
      /** Set at the end; `interrupted` when the caller did not get the whole answer. */
      outcome?: 'answered' | 'interrupted';
    }
);
