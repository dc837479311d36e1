import type { StreamName } from '../streams/StreamName.js';
import type { StreamRecord } from '../streams/StreamRecord.js';

/** The newest record of each key, by stream. */
export type StoreContent = Record<StreamName, StreamRecord[]>;
