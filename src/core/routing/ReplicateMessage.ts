import type { Job } from '../jobs/Job.js';
import type { KeyRecord } from './KeyRecord.js';

/** The lead of a zone sends changed keys and jobs to the zone's other schedulers. */
export interface ReplicateMessage {
  type: 'replicate';
  sequence: number;
  /** Records without their `forgetAt`, which is local to each VM. */
  keys: Omit<KeyRecord, 'forgetAt'>[];
  /** Ids of keys that were freed because their request was not run. */
  freedKeys: string[];
  jobs: Job[];
  /** False while more messages of the same full copy follow. */
  complete: boolean;
  /** Set if the sender is not lead; the receiver then adds only unknown keys and jobs. */
  supplement?: true;
}
