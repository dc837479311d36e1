import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { recordPartUsage } from './recordPartUsage.js';
import { removePartUse } from './removePartUse.js';

/** Marks a part as ended and records its use. */
export const endPart = (
  state: State,
  job: Job,
  part: JobPart,
  end: 'finished' | 'failed' | 'stopped',
  { at, wall }: EventTime,
): Effect[] => {
  part.state = end;
  part.changedAt = at;
  removePartUse(state.jobs, job, part);
  if (part.startedWall !== null) return [recordPartUsage(job, part, { kind: 'taskEnded', wall })];
  if (part.startSentWall === null) return [];
  // The start call was never answered, so it is not known when the part began to run.
  const span = { kind: 'taskUnknown', fromWall: part.startSentWall, toWall: wall } as const;
  return [recordPartUsage(job, part, span)];
};
