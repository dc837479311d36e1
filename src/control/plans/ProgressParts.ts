import type { Task } from './Task.js';

/** How the progress of a job that outgrew one record is divided into parts; each part is a record. */
export interface ProgressParts {
  /** Number of the next part to create; numbers are not used again. */
  nextNumber: number;
  /** Tasks whose rows are in a part, by part number. */
  tasks: Map<number, Set<Task>>;
  /** Whether the store has the main record that says that the progress is divided. */
  isMainWritten: boolean;
}
