import type { ReclaimHold } from './ReclaimHold.js';
import type { Job } from './Job.js';
import type { JobDeadline } from './JobDeadline.js';
import type { Reservation } from './Reservation.js';
import type { PendingSubmission } from './PendingSubmission.js';
import type { WorkerFailures } from './WorkerFailures.js';

/** Jobs of a zone as a scheduler knows them, with indexes. Monotonic times are in milliseconds. */
export interface JobsState {
  /** All known jobs by id; ended ones are kept for a while. */
  jobs: Map<string, Job>;
  /** Ids of the jobs of each workspace. */
  jobsByWorkspace: Map<string, Set<string>>;
  /** Ids of the jobs that are neither queued nor ended. */
  activeJobs: Set<string>;
  /** Ids of queued jobs in order of submission. */
  queue: string[];
  /** Job id by task id, for tasks that occupy a worker. */
  jobIdByTask: Map<string, string>;
  /** Ids of the tasks that occupy each worker. */
  tasksByWorker: Map<string, Set<string>>;
  /** Accelerators in use by tasks on each worker. */
  usedByWorker: Map<string, number>;
  /** Accelerators in use by tasks, by worker id, then workspace. */
  usedByWorkerAndWorkspace: Map<string, Map<string, number>>;
  /** Accelerators in use by tasks of each workspace. */
  usedByWorkspace: Map<string, number>;
  /** Monotonic time of the newest lease answer of each worker. */
  lastHeardByWorker: Map<string, number>;
  /** Times at which jobs are checked, earliest first; may contain outdated entries. */
  deadlines: JobDeadline[];
  /** Capacity being reclaimed, by id of the queued job that it is kept for. */
  reclaimHolds: Map<string, ReclaimHold>;
  /** Reservation for the oldest gang that does not fit, or null; only one exists at a time. */
  reservation: Reservation | null;
  /** Moving average of run times in milliseconds, by key of workspace and shape. */
  observedRunMs: Map<string, number>;
  failuresByWorker: Map<string, WorkerFailures>;
  /** Sequence number of the copy that peers must have before a gang is started, by job id. */
  pendingStarts: Map<string, number>;
  /** Submissions that wait for replication before they are answered. */
  pendingSubmissions: PendingSubmission[];
  /** Whether the queue or the free capacity may have changed since the latest placement pass. */
  placementDue: boolean;
  /** Monotonic time of the latest placement pass; -Infinity before the first. */
  lastPlacementAt: number;
}
