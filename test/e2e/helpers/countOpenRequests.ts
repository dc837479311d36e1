import type { JournalEntry } from './JournalEntry.js';

/** Counts the running short requests whose path has a prefix, from the workers' journals. */
export const countOpenRequests = (journal: JournalEntry[], prefix: string): number =>
  journal.reduce((open, line) => {
    if (!('path' in line) || !line.path.startsWith(prefix)) return open;
    return line.kind === 'requestStarted' ? open + 1 : open - 1;
  }, 0);
