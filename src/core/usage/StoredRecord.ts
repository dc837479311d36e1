import type { JobRecord } from './JobRecord.js';
import type { UsageRecord } from './UsageRecord.js';

/** A record that a recorder stores; its kind determines the log stream. */
export type StoredRecord = UsageRecord | JobRecord;
