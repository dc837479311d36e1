import type { EndKind } from './EndKind.js';

/** A run that a worker lists as ended. */
export interface EndedRun {
  /** Counts the ends of one life of the worker, from 1. */
  sequenceNumber: number;
  task: string;
  run: number;
  kind: EndKind;
  checkpoint: string;
}
