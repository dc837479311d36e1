import type { EndKind } from './EndKind.js';

/** A run that a worker lists as ended. */
export interface EndedRun {
  /** End number: counts the run ends of one incarnation of the worker, from 1. */
  sequenceNumber: number;
  /** Name of the task. */
  task: string;
  /** Number of the task's run. */
  run: number;
  kind: EndKind;
  /** Last checkpoint, or empty. */
  checkpoint: string;
}
