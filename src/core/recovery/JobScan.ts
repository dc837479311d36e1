import type { StreamRead } from '../log/StreamRead.js';
import type { NodeId } from '../NodeId.js';
import type { RecoveredJob } from './RecoveredJob.js';

/** A read of the whole `jobs` stream for one query. */
export interface JobScan extends StreamRead {
  queryId: string;
  requester: NodeId;
  zone: string;
  openJobs: Map<string, RecoveredJob>;
  endedJobIds: Set<string>;
}
