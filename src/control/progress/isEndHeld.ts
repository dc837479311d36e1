import type { Term } from '../lead/Term.js';

/** Whether the ends of a worker can't be acknowledged, because progress that may contain them was refused. */
export const isEndHeld = ({ refusedJobs }: Term, workerId: string): boolean =>
  [...refusedJobs.values()].some(({ heldWorkerIds }) => heldWorkerIds.has(workerId));
