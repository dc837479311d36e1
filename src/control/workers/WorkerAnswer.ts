import type { ListedEnd } from './ListedEnd.js';
import type { ListedRun } from './ListedRun.js';
import type { StartRefusal } from './StartRefusal.js';

/** What a worker answered to a call. */
export type WorkerAnswer =
  | { type: 'done'; clock: number | null }
  | { type: 'listing'; clock: number; born: number; running: ListedRun[]; ended: ListedEnd[] }
  | { type: 'refused'; reason: StartRefusal; clock: number | null }
  /** The call may have been carried out, or may be later. */
  | { type: 'unanswered' };
