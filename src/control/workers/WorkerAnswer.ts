import type { EndedRun } from './EndedRun.js';
import type { ListedRun } from './ListedRun.js';
import type { WorkerRefusal } from './WorkerRefusal.js';

/** A worker's answer to a call; `clockMs` is its clock, or null if the answer has none. */
export type WorkerAnswer =
  | { type: 'done'; clockMs: number | null }
  | {
      type: 'listing';
      clockMs: number;
      incarnation: number;
      running: ListedRun[];
      ended: EndedRun[];
      /** Whether `ended` holds all unacknowledged ends; if not, an ended run may be in neither list. */
      hasAllEnds: boolean;
    }
  | { type: 'refused'; reason: WorkerRefusal; clockMs: number | null }
  /** The outcome is unknown: the call may have taken effect or still do so. */
  | { type: 'unanswered' };
