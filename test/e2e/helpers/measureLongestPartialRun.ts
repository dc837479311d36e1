import type { JournalEntry } from './JournalEntry.js';

type TaskLine = Extract<JournalEntry, { kind: 'taskStarted' | 'taskEnded' }>;

const isTaskOf = (line: JournalEntry, jobId: string): line is TaskLine =>
  (line.kind === 'taskStarted' || line.kind === 'taskEnded') && line.jobId === jobId;

/** Longest time in milliseconds for which some, but not all, parts of one attempt ran. */
export const measureLongestPartialRun = (journal: JournalEntry[], jobId: string): number => {
  const running = new Map<number, number>();
  let splitSince: number | null = null;
  let longestMs = 0;
  journal.forEach((line) => {
    if (!isTaskOf(line, jobId)) return;
    const step = line.kind === 'taskStarted' ? 1 : -1;
    running.set(line.attempt, (running.get(line.attempt) ?? 0) + step);
    const isSplit = [...running.values()].some((count) => count > 0 && count < line.parts);
    if (isSplit) splitSince ??= line.wall;
    else if (splitSince !== null) {
      longestMs = Math.max(longestMs, line.wall - splitSince);
      splitSince = null;
    }
  });
  return splitSince === null ? longestMs : Infinity;
};
