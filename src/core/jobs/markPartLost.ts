import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { recordPartUsage } from './recordPartUsage.js';
import { removePartUse } from './removePartUse.js';

/**
 * Marks a part as lost. With `taskEnded`, its task has certainly ended; otherwise the task may run
 * until its lease expires, and the part keeps its accelerators until then. The use since the
 * worker's last answer is recorded as unknown.
 */
export const markPartLost = (
  state: State,
  job: Job,
  part: JobPart,
  { at, wall }: EventTime,
  taskEnded: boolean,
): Effect[] => {
  const { taskLeaseMs, workerCallTimeoutMs } = state.timing;
  // A renewal sent just before the loss can still reach the worker within the call timeout.
  part.expiresAt = taskEnded ? null : at + taskLeaseMs + workerCallTimeoutMs;
  part.state = 'lost';
  part.changedAt = at;
  if (taskEnded) removePartUse(state.jobs, job, part);
  if (part.startSentWall === null && part.startedWall === null) return [];
  const heardAt = state.jobs.lastHeardByWorker.get(part.workerId) ?? at;
  const heardWall = wall - (at - heardAt);
  const fromWall = Math.max(heardWall, part.startedWall ?? part.startSentWall ?? heardWall);
  const toWall = taskEnded ? wall : wall + (part.expiresAt ?? at) - at;
  return [recordPartUsage(job, part, { kind: 'taskUnknown', fromWall, toWall })];
};
