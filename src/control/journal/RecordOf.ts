import type { StreamRecord } from '../streams/StreamRecord.js';

/** The record of one type. */
export type RecordOf<T extends StreamRecord['type']> = Extract<StreamRecord, { type: T }>;
