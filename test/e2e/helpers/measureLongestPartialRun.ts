import type { JournalEntry } from './JournalEntry.js';

type TaskLine = Extract<JournalEntry, { kind: 'taskStarted' | 'taskEnded' }>;

const isTaskOf = (line: JournalEntry, jobId: string): line is TaskLine =>
  (line.kind === 'taskStarted' || line.kind === 'taskEnded') && line.jobId === jobId;

/**
 * Measures the longest time in ms for which only some parts of a gang ran; Infinity if only some run
 * at the end of the journal.
 */
export const measureLongestPartialRun = (journal: JournalEntry[], jobId: string): number => {
  const runningParts = new Map<number, number>();
  let partialSince: number | null = null;
  let longestMs = 0;
  journal.forEach((line) => {
    if (!isTaskOf(line, jobId)) return;
    const change = line.kind === 'taskStarted' ? 1 : -1;
    runningParts.set(line.attempt, (runningParts.get(line.attempt) ?? 0) + change);
    const isPartial = [...runningParts.values()].some((count) => count > 0 && count < line.parts);
    if (isPartial) partialSince ??= line.wall;
    else if (partialSince !== null) {
      longestMs = Math.max(longestMs, line.wall - partialSince);
      partialSince = null;
    }
  });
  return partialSince === null ? longestMs : Infinity;
};
