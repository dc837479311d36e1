import type { StreamRecord } from '../streams/StreamRecord.js';

/** The member of `StreamRecord` with the given type. */
export type RecordOf<T extends StreamRecord['type']> = Extract<StreamRecord, { type: T }>;
