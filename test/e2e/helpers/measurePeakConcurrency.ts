import type { JournalEntry } from './JournalEntry.js';

/** Measures the highest number of short requests that each worker ran concurrently. */
export const measurePeakConcurrency = (
  journal: JournalEntry[],
): { workerId: string; peak: number }[] => {
  const running = new Map<string, number>();
  const peaks = new Map<string, number>();
  [...journal]
    .sort((a, b) => a.seq - b.seq)
    .forEach(({ workerId, kind }) => {
      if (kind !== 'requestStarted' && kind !== 'requestEnded') return;
      const count = (running.get(workerId) ?? 0) + (kind === 'requestStarted' ? 1 : -1);
      running.set(workerId, count);
      peaks.set(workerId, Math.max(peaks.get(workerId) ?? 0, count));
    });
  return [...peaks].map(([workerId, peak]) => ({ workerId, peak }));
};
