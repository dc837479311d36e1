import type { JobRecord } from './JobRecord.js';
import type { UsageRecord } from './UsageRecord.js';

/** A record that the recorder stores; its kind decides the log stream. */
export type StoredRecord = UsageRecord | JobRecord;
