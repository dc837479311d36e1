import type { JournalEntry } from './JournalEntry.js';

/** Counts the short requests below a path that run now, as the workers' journals tell. */
export const countOpenRequests = (journal: JournalEntry[], prefix: string): number =>
  journal.reduce((open, line) => {
    if (!('path' in line) || !line.path.startsWith(prefix)) return open;
    return line.kind === 'requestStarted' ? open + 1 : open - 1;
  }, 0);
