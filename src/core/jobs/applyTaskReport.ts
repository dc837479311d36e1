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

type Applier = (
  state: State,
  job: Job,
  part: JobPart,
  report: TaskReport,
  event: EventTime,
) => Effect[];

// A checkpoint can take longer than a call may, so its answer may be seen in a report only.
const applyCheckpoint: Applier = (state, job, part, report, event) => {
  const { checkpoint } = report;
  if (report.state !== 'running' || checkpoint === undefined) return [];
  if (part.state === 'running') part.checkpoint = checkpoint;
  if (part.state !== 'checkpointing' || checkpoint === part.checkpointBefore) return [];
  part.state = 'running';
  part.changedAt = event.at;
  part.checkpoint = checkpoint;
  return advanceJobState(state, job, event);
};

const applyRunning: Applier = (state, job, part, report, event) => {
  if (part.state !== 'assigned' && part.state !== 'prepared') {
    return applyCheckpoint(state, job, part, report, event);
  }
  return [
    ...markPartRunning(job, part, event, report.ranMs),
    ...advanceJobState(state, job, event),
  ];
};

/**
 * A worker reports an ended task long after its end when the lead changed in between; the worker's
 * own measure of the run time keeps that delay out of the invoice.
 */
const computeEnd = (part: JobPart, { ranMs }: TaskReport, { at, wall }: EventTime): EventTime => ({
  at,
  wall: part.startedWall === null ? wall : Math.min(wall, part.startedWall + ranMs),
});

/** Time since the start of a task that has ended. */
const computeSinceMs = ({ ranMs, endedAgoMs = 0 }: TaskReport): number => ranMs + endedAgoMs;

const applyFinished: Applier = (state, job, part, report, event) => {
  state.jobs.failuresByWorker.delete(part.workerId);
  return [
    ...markPartRunning(job, part, event, computeSinceMs(report)),
    ...endPart(state, job, part, 'finished', computeEnd(part, report, event)),
    ...advanceJobState(state, job, event),
  ];
};

const applyFailed: Applier = (state, job, part, report, event) => {
  const blame = report.state === 'failed' ? 'task' : 'none';
  const workerIds = [part.workerId];
  // The copy of a dead scheduler may not know that the part was started; its run time shows it.
  const hasRun = part.startSentWall !== null || report.ranMs > 0;
  const started = hasRun ? markPartRunning(job, part, event, computeSinceMs(report)) : [];
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

const appliers: Partial<Record<PartState, Applier>> = {
  prepared: (state, job, part, _report, event) => {
    if (part.state !== 'assigned') return [];
    part.state = 'prepared';
    part.changedAt = event.at;
    return advanceJobState(state, job, event);
  },
  running: applyRunning,
  checkpointing: applyRunning,
  finished: applyFinished,
  failed: applyFailed,
  stopped: applyFailed,
  lost: applyFailed,
};

/** Applies what a worker reports about a known task. Cost: O(parts of the job) when it changes. */
export const applyTaskReport: Applier = (state, job, part, report, event) => {
  const isActive = ['prepared', 'running', 'checkpointing'].includes(report.state);
  if (part.state === 'lost') return isActive ? [] : resolveLostPart(state, job, part, event);
  return appliers[report.state]?.(state, job, part, report, event) ?? [];
};
