import type { StreamRead } from '../log/StreamRead.js';
import type { NodeId } from '../NodeId.js';
import type { RecoveredJob } from './RecoveredJob.js';

/** Read of the whole `jobs` stream by a recorder, for one `jobsQuery`. */
export interface JobScan extends StreamRead {
  queryId: string;
  /** Scheduler that sent the query. */
  requester: NodeId;
  zone: string;
  /** Jobs of the zone without an end so far, by job id. */
  openJobs: Map<string, RecoveredJob>;
  /** Kept because an end may precede a repeated `jobSubmitted` record of the same job. */
  endedJobIds: Set<string>;
}
