import type { JobPart } from './JobPart.js';

/** Tells whether a part can no longer be running at a monotonic time. */
export const isPartEnded = (part: JobPart, at: number): boolean =>
  part.state === 'finished' ||
  part.state === 'failed' ||
  part.state === 'stopped' ||
  (part.state === 'lost' && (part.expiresAt === null || at >= part.expiresAt));
