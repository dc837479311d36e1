import type { EndedRun } from './EndedRun.js';
import type { ListedRun } from './ListedRun.js';
import type { WorkerRefusal } from './WorkerRefusal.js';

/** What a worker answered to a call. */
export type WorkerAnswer =
  | { type: 'done'; clockMs: number | null }
  | {
      type: 'listing';
      clockMs: number;
      incarnation: number;
      running: ListedRun[];
      ended: EndedRun[];
    }
  | { type: 'refused'; reason: WorkerRefusal; clockMs: number | null }
  /** The call may have been carried out, or may be later. */
  | { type: 'unanswered' };
