import type { JournalLine } from '../../../standins/worker/JournalLine.js';

/** A line of a worker's journal with the id of the worker. */
export type JournalEntry = JournalLine & { workerId: string };
