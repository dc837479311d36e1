import type { Effect } from '../Effect.js';
import type { TaskReport } from '../ownership/TaskReport.js';
import type { State } from '../State.js';
import { endPart } from './endPart.js';
import type { EventTime } from './EventTime.js';
import { failGang } from './failGang.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { markPartRunning } from './markPartRunning.js';
import type { PartState } from './PartState.js';
import { resolveLostPart } from './resolveLostPart.js';
import { advanceJobState } from './advanceJobState.js';

type ReportHandler = (
  state: State,
  job: Job,
  part: JobPart,
  report: TaskReport,
  event: EventTime,
) => Effect[];

// A checkpoint can take longer than the call timeout; its result is then seen in a report only.
const applyCheckpoint: ReportHandler = (state, job, part, report, event) => {
  const { checkpoint } = report;
  if (report.state !== 'running' || checkpoint === undefined) return [];
  if (part.state === 'running') part.checkpoint = checkpoint;
  if (part.state !== 'checkpointing' || checkpoint === part.checkpointBefore) return [];
  part.state = 'running';
  part.changedAt = event.at;
  part.checkpoint = checkpoint;
  return advanceJobState(state, job, event);
};

const applyRunning: ReportHandler = (state, job, part, report, event) => {
  if (part.state !== 'assigned' && part.state !== 'prepared') {
    return applyCheckpoint(state, job, part, report, event);
  }
  return [
    ...markPartRunning(job, part, event, report.ranMs),
    ...advanceJobState(state, job, event),
  ];
};

/**
 * Computes when a task ended. After a change of the lead, the report can come long after the end;
 * the run time measured by the worker keeps that delay out of the invoice.
 */
const computeEnd = (part: JobPart, { ranMs }: TaskReport, { at, wall }: EventTime): EventTime => ({
  at,
  wall: part.startedWall === null ? wall : Math.min(wall, part.startedWall + ranMs),
});

/** Computes the time since the start of a task that has ended, in milliseconds. */
const computeMsSinceStart = ({ ranMs, endedAgoMs = 0 }: TaskReport): number => ranMs + endedAgoMs;

const applyFinished: ReportHandler = (state, job, part, report, event) => {
  state.jobs.failuresByWorker.delete(part.workerId);
  return [
    ...markPartRunning(job, part, event, computeMsSinceStart(report)),
    ...endPart(state, job, part, 'finished', computeEnd(part, report, event)),
    ...advanceJobState(state, job, event),
  ];
};

const applyFailedOrStopped: ReportHandler = (state, job, part, report, event) => {
  const blame = report.state === 'failed' ? 'task' : 'none';
  const workerIds = [part.workerId];
  // A copy from a scheduler that has died may lack the start of the part; the run time proves it.
  const hasRun = part.startSentWall !== null || report.ranMs > 0;
  const started = hasRun ? markPartRunning(job, part, event, computeMsSinceStart(report)) : [];
  const ended = endPart(
    state,
    job,
    part,
    report.state === 'failed' ? 'failed' : 'stopped',
    computeEnd(part, report, event),
  );
  return [
    ...started,
    ...ended,
    ...(job.state === 'stopping'
      ? advanceJobState(state, job, event)
      : failGang(state, job, event, { reason: 'gang-part-lost', blame, workerIds })),
  ];
};

const reportHandlers: Partial<Record<PartState, ReportHandler>> = {
  prepared: (state, job, part, _report, event) => {
    if (part.state !== 'assigned') return [];
    part.state = 'prepared';
    part.changedAt = event.at;
    return advanceJobState(state, job, event);
  },
  running: applyRunning,
  checkpointing: applyRunning,
  finished: applyFinished,
  failed: applyFailedOrStopped,
  stopped: applyFailedOrStopped,
  lost: applyFailedOrStopped,
};

/** Applies a worker's report of a known task. Cost: O(parts of the job) if the task has changed. */
export const applyTaskReport: ReportHandler = (state, job, part, report, event) => {
  const isActive = ['prepared', 'running', 'checkpointing'].includes(report.state);
  if (part.state === 'lost') return isActive ? [] : resolveLostPart(state, job, part, event);
  return reportHandlers[report.state]?.(state, job, part, report, event) ?? [];
};
