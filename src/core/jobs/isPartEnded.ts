import type { JobPart } from './JobPart.js';

/** Whether a part certainly does not run any more at the given monotonic time. */
export const isPartEnded = (part: JobPart, at: number): boolean =>
  part.state === 'finished' ||
  part.state === 'failed' ||
  part.state === 'stopped' ||
  (part.state === 'lost' && (part.expiresAt === null || at >= part.expiresAt));
