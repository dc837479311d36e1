import type { GangHold } from './GangHold.js';
import type { Job } from './Job.js';
import type { JobDeadline } from './JobDeadline.js';
import type { Reservation } from './Reservation.js';
import type { SubmissionWait } from './SubmissionWait.js';
import type { WorkerFaults } from './WorkerFaults.js';

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
  jobByTask: Map<string, string>;
  /** Ids of the tasks on each worker. */
  tasksByWorker: Map<string, Set<string>>;
  /** Accelerators in use by tasks on each worker. */
  acceleratorsByWorker: Map<string, number>;
  /** Accelerators in use by tasks on each worker, by workspace. */
  useByWorker: Map<string, Map<string, number>>;
  /** Accelerators in use by tasks of each workspace. */
  useByWorkspace: Map<string, number>;
  /** Monotonic time of the newest answer of each worker. */
  heardByWorker: Map<string, number>;
  /** Times at which jobs are looked at, earliest first. */
  deadlines: JobDeadline[];
  /** Capacity kept during a reclaim, by job id. */
  holds: Map<string, GangHold>;
  reservation: Reservation | null;
  /** Moving average of run times by workspace and shape, in milliseconds. */
  observedMs: Map<string, number>;
  faultsByWorker: Map<string, WorkerFaults>;
  /** Sequence of the copy that must reach the peers before a gang's parts are started, by job id. */
  startWaits: Map<string, number>;
  /** Submissions that are not answered yet. */
  submissionWaits: SubmissionWait[];
  /** Whether the queue or the free capacity changed since the latest placement pass. */
  placementDue: boolean;
  /** Monotonic time of the latest placement pass. */
  placedAt: number;
}
