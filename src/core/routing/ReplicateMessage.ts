import type { Job } from '../jobs/Job.js';
import type { KeyRecord } from './KeyRecord.js';

/** The lead of a zone sends changes of keys and jobs to the zone's other schedulers. */
export interface ReplicateMessage {
  type: 'replicate';
  sequence: number;
  /** Records without their `forgetAt`, which is local to each VM. */
  keys: Omit<KeyRecord, 'forgetAt'>[];
  /** Ids of keys whose attempt was proved not sent. */
  freedKeys: string[];
  jobs: Job[];
  /** False while more messages of the same full copy follow. */
  complete: boolean;
  /** Set when the sender does not lead; the receiver takes only what it does not know. */
  supplement?: true;
}
