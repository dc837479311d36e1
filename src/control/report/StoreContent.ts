import type { StreamName } from '../streams/StreamName.js';
import type { StreamRecord } from '../streams/StreamRecord.js';

/** Newest record of each key of each stream. */
export type StoreContent = Record<StreamName, StreamRecord[]>;
