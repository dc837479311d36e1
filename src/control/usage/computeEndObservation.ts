import type { Now } from '../Now.js';
import { minClockRate } from '../workers/minClockRate.js';
import type { Worker } from '../workers/Worker.js';
import type { EndObservation } from './EndObservation.js';

/** Computes when a worker answered with a listing, from how far its clock moved since its last answer. */
export const computeEndObservation = (
  { clock, lastListedAt }: Worker,
  listedClock: number,
  sentAt: number,
  now: Now,
): EndObservation => {
  const elapsedMs = clock ? (listedClock - clock.value) / minClockRate : Number.POSITIVE_INFINITY;
  const delayMs = clock ? Math.max(0, now.at - clock.observedAt - elapsedMs) : 0;
  return { at: now.at - delayMs, unobservedFrom: lastListedAt, unobservedTo: sentAt };
};
