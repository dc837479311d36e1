import type { Effect } from '../Effect.js';
import type { TaskReport } from '../ownership/TaskReport.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { addJob } from './addJob.js';
import { addPartUse } from './addPartUse.js';
import { createJob } from './createJob.js';
import type { EventTime } from './EventTime.js';
import { isJobEnded } from './isJobEnded.js';
import type { Job } from './Job.js';
import { removeFromQueue } from './removeFromQueue.js';
import { removePartUse } from './removePartUse.js';
import { setJobState } from './setJobState.js';

const createJobFromReport = (state: State, report: TaskReport, { at, wall }: EventTime): Job => {
  const job = createJob({
    id: report.jobId,
    workspace: report.workspace,
    zone: state.self.zone,
    spec: {
      tasks: report.parts,
      acceleratorsPerTask: report.accelerators,
      adjacency: 'zone',
      declaredMs: 0,
      preemptible: false,
      urgent: false,
      payload: '',
    },
    submittedWall: wall - report.ranMs,
    phaseAt: at,
  });
  return { ...job, specKnown: false };
};

const resetAttempt = (state: State, job: Job, report: TaskReport, { at }: EventTime): void => {
  job.parts.forEach((part) => removePartUse(state.jobs, job, part));
  removeFromQueue(state.jobs, job.id);
  setJobState(state, job, 'running', at);
  job.phaseAt = at - report.ranMs;
  job.attempt = report.attempt;
  job.parts = [];
  delete job.afterStop;
};

const isPartMissing = (job: Job, index: number): boolean =>
  job.state === 'running' && !job.parts.some((part) => part.index === index);

/**
 * Adds a task that only its worker knows to the job table, if its attempt is at least as new as the
 * known one. The other parts of the gang must be reported within `gangSilenceMs`. Returns null for
 * a task to be stopped: of an older attempt, of an ended job, or of a part that is already known.
 * Cost: O(parts of the job + queued jobs).
 */
export const adoptTask = (
  state: State,
  workerId: string,
  report: TaskReport,
  event: EventTime,
): Effect[] | null => {
  const known = state.jobs.jobs.get(report.jobId);
  if (known && (isJobEnded(known) || report.attempt < known.attempt)) return null;
  if (known?.attempt === report.attempt && !isPartMissing(known, report.index)) return null;
  const job = known ?? createJobFromReport(state, report, event);
  if (!known) addJob(state.jobs, job);
  if (job.attempt !== report.attempt) resetAttempt(state, job, report, event);
  const part = {
    index: report.index,
    taskId: report.taskId,
    workerId,
    state: 'assigned' as const,
    borrowed: false,
    changedAt: event.at,
    startSentWall: null,
    startedWall: null,
    checkpoint: null,
    checkpointBefore: null,
    expiresAt: null,
  };
  job.parts = [...job.parts, part].sort((a, b) => a.index - b.index);
  addPartUse(state.jobs, job, part);
  setJobDeadline(state.jobs, job, event.at + state.timing.gangSilenceMs);
  return [
    {
      type: 'log',
      level: 'warn',
      code: 'task_adopted',
      fields: { taskId: report.taskId, jobId: job.id, workerId },
    },
  ];
};
