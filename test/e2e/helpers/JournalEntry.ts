import type { JournalLine } from '../../../standins/worker/JournalLine.js';

/** A line of a worker's journal with the worker that wrote it. */
export type JournalEntry = JournalLine & { workerId: string };
