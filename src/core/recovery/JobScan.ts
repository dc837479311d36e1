import type { NodeId } from '../NodeId.js';
import type { RecoveredJob } from './RecoveredJob.js';

/** A read of the whole `jobs` stream for one query. */
export interface JobScan {
  queryId: string;
  from: NodeId;
  zone: string;
  /** Id of the read in flight, or null while a failed one waits for its repetition. */
  readId: string | null;
  nextReadAt: number;
  nextOffset: number;
  open: Map<string, RecoveredJob>;
  ended: Set<string>;
}
