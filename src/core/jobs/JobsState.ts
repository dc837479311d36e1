import type { ReclaimHold } from './ReclaimHold.js';
import type { Job } from './Job.js';
import type { JobDeadline } from './JobDeadline.js';
import type { Reservation } from './Reservation.js';
import type { PendingSubmission } from './PendingSubmission.js';
import type { WorkerFailures } from './WorkerFailures.js';

/** Jobs of a zone as its scheduler knows them. */
export interface JobsState {
  jobs: Map<string, Job>;
  /** Ids of the jobs of each workspace. */
  jobsByWorkspace: Map<string, Set<string>>;
  /** Ids of the jobs that are neither queued nor ended. */
  activeJobs: Set<string>;
  /** Ids of queued jobs in order of submission. */
  queue: string[];
  /** Task id to job id, for tasks that occupy a worker. */
  jobIdByTask: Map<string, string>;
  /** Ids of the tasks on each worker. */
  tasksByWorker: Map<string, Set<string>>;
  /** Accelerators in use by tasks on each worker. */
  usedByWorker: Map<string, number>;
  /** Accelerators in use by tasks on each worker, by workspace. */
  usedByWorkerAndWorkspace: Map<string, Map<string, number>>;
  /** Accelerators in use by tasks of each workspace. */
  usedByWorkspace: Map<string, number>;
  /** Monotonic time of the newest answer of each worker. */
  lastHeardByWorker: Map<string, number>;
  /** Times at which jobs are looked at, earliest first. */
  deadlines: JobDeadline[];
  /** Capacity kept during a reclaim, by job id. */
  reclaimHolds: Map<string, ReclaimHold>;
  reservation: Reservation | null;
  /** Moving average of run times by workspace and shape, in milliseconds. */
  observedRunMs: Map<string, number>;
  failuresByWorker: Map<string, WorkerFailures>;
  /** Sequence of the copy that must reach the peers before a gang's parts are started, by job id. */
  pendingStarts: Map<string, number>;
  /** Submissions that are not answered yet. */
  pendingSubmissions: PendingSubmission[];
  /** Whether the queue or the free capacity changed since the latest placement pass. */
  placementDue: boolean;
  /** Monotonic time of the latest placement pass. */
  lastPlacementAt: number;
}
