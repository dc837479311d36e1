import type { StoredRecord } from './StoredRecord.js';
import type { UsageStream } from './UsageStream.js';

/** Log stream of each kind of record. */
export const streamByKind: Readonly<Record<StoredRecord['kind'], UsageStream>> = {
  taskStarted: 'usage',
  taskEnded: 'usage',
  taskUnknown: 'usage',
  requests: 'usage',
  requestsUnknown: 'usage',
  correction: 'usage',
  jobSubmitted: 'jobs',
  jobEnded: 'jobs',
};
