import type { Submission } from '../jobs/Submission.js';

/** Computes the epoch milliseconds before which no task of an occurrence may start; 0 without a schedule. */
export const computeDueAt = ({ definition: { schedule } }: Submission, number: number): number =>
  schedule ? schedule.startAt + number * schedule.intervalMs : 0;
