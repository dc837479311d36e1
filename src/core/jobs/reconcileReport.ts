import type { Effect } from '../Effect.js';
import type { TaskReport } from '../ownership/TaskReport.js';
import type { WorkerReport } from '../ownership/WorkerReport.js';
import type { State } from '../State.js';
import { adoptTask } from './adoptTask.js';
import { applyTaskReport } from './applyTaskReport.js';
import { endPart } from './endPart.js';
import type { EventTime } from './EventTime.js';
import { failGang } from './failGang.js';
import { findPart } from './findPart.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { markPartLost } from './markPartLost.js';
import { retryTaskCall } from './retryTaskCall.js';
import { resolveLostPart } from './resolveLostPart.js';
import { advanceJobState } from './advanceJobState.js';

const isActive = ({ state }: TaskReport): boolean =>
  state === 'prepared' || state === 'running' || state === 'checkpointing';

// A worker loses its running tasks when it restarts; if a repeated prepare call then arrives, the
// lost task looks like one that has not been started yet.
const isLostInRestart = (part: JobPart, report: TaskReport, sentAt: number): boolean =>
  report.state === 'prepared' &&
  (part.state === 'running' || part.state === 'checkpointing') &&
  part.changedAt < sentAt;

const stopReportedTask = (state: State, workerId: string, taskId: string): Effect[] => {
  const url = state.settings.inForce?.tree.zones[state.self.zone]?.workers[workerId]?.url;
  if (url === undefined) return [];
  return [{ type: 'callWorker', workerId, url, call: { kind: 'stopTask', taskId } }];
};

const applyMissing = (state: State, job: Job, part: JobPart, event: EventTime): Effect[] => {
  if (part.state === 'lost') return resolveLostPart(state, job, part, event);
  if (job.state === 'stopping') {
    return [...endPart(state, job, part, 'stopped', event), ...advanceJobState(state, job, event)];
  }
  const fault = { reason: 'gang-part-lost', blame: 'none', workerIds: [] } as const;
  return [
    ...markPartLost(state, job, part, event, true),
    ...failGang(state, job, event, { ...fault, workerIds: [] }),
  ];
};

const reconcileReported = (
  state: State,
  workerId: string,
  report: TaskReport,
  event: EventTime,
  sentAt: number,
): Effect[] => {
  const adopted =
    !state.jobs.jobIdByTask.has(report.taskId) && isActive(report)
      ? adoptTask(state, workerId, report, event)
      : [];
  if (adopted === null) return stopReportedTask(state, workerId, report.taskId);
  const found = findPart(state.jobs, report.taskId);
  if (!found) return adopted;
  if (isLostInRestart(found.part, report, sentAt)) {
    return [
      ...stopReportedTask(state, workerId, report.taskId),
      ...applyMissing(state, found.job, found.part, event),
    ];
  }
  return [...adopted, ...applyTaskReport(state, found.job, found.part, report, event)];
};

const reconcileMissing = (
  state: State,
  taskId: string,
  event: EventTime,
  sentAt: number,
): Effect[] => {
  const found = findPart(state.jobs, taskId);
  if (!found) return [];
  const { job, part } = found;
  // The answer to a call sent before the part's latest change may not contain the part yet.
  const isStale = part.state === 'assigned' || part.changedAt >= sentAt;
  return isStale
    ? retryTaskCall(state, job, part, event.at)
    : applyMissing(state, job, part, event);
};

/**
 * Reconciles the tasks that a worker reports with the known ones: adopts unknown tasks, stops tasks
 * of ended attempts, and repeats unanswered calls. `sentAt` is the monotonic send time of the call
 * that the report answers; Infinity treats all known changes as older than the report.
 * Cost: O(tasks of the worker × parts of their gangs).
 */
export const reconcileReport = (
  state: State,
  workerId: string,
  report: WorkerReport,
  event: EventTime,
  sentAt: number,
): Effect[] => {
  const reported = new Set(report.tasks.map((task) => task.taskId));
  const missing = [...(state.jobs.tasksByWorker.get(workerId) ?? [])].filter(
    (taskId) => !reported.has(taskId),
  );
  const effects = [
    ...report.tasks.flatMap((task) => reconcileReported(state, workerId, task, event, sentAt)),
    ...missing.flatMap((taskId) => reconcileMissing(state, taskId, event, sentAt)),
  ];
  const repeats = report.tasks.filter(isActive).flatMap((task) => {
    const found = findPart(state.jobs, task.taskId);
    return found ? retryTaskCall(state, found.job, found.part, event.at) : [];
  });
  return [...effects, ...repeats];
};
