import type { Now } from '../Now.js';
import { slowestClock } from '../workers/slowestClock.js';
import type { Worker } from '../workers/Worker.js';
import type { Sighting } from './Sighting.js';

/** Computes when a listing was answered, from the worker's own clock since its last answer. */
export const computeSighting = (
  { clock, lastListedAt }: Worker,
  listedClock: number,
  sentAt: number,
  now: Now,
): Sighting => {
  const passedMs = clock ? (listedClock - clock.value) / slowestClock : Number.POSITIVE_INFINITY;
  const lateMs = clock ? Math.max(0, now.at - clock.at - passedMs) : 0;
  return { at: now.at - lateMs, unseenMs: sentAt - lastListedAt };
};
