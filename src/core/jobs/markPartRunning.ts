import type { Effect } from '../Effect.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { recordPartUsage } from './recordPartUsage.js';

/**
 * Marks a part as running, unless it takes a checkpoint, and records that it started `ranMs` ago,
 * unless its start is already known.
 */
export const markPartRunning = (
  job: Job,
  part: JobPart,
  { at, wall }: EventTime,
  ranMs = 0,
): Effect[] => {
  if (part.state !== 'checkpointing') {
    part.state = 'running';
    part.changedAt = at;
  }
  if (part.startedWall !== null) return [];
  part.startedWall = wall - ranMs;
  return [recordPartUsage(job, part, { kind: 'taskStarted', wall: part.startedWall })];
};
