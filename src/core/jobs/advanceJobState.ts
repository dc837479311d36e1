import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import type { EventTime } from './EventTime.js';
import { finishCheckpoint } from './finishCheckpoint.js';
import { finishJob } from './finishJob.js';
import { finishStop } from './finishStop.js';
import { isPartEnded } from './isPartEnded.js';
import type { Job } from './Job.js';
import type { JobState } from './JobState.js';
import type { PartState } from './PartState.js';
import { setJobState } from './setJobState.js';
import { startParts } from './startParts.js';

type StateUpdater = (state: State, job: Job, event: EventTime) => Effect[];

const hasOnlyPartsIn = (job: Job, states: readonly PartState[]): boolean =>
  job.parts.length === job.spec.tasks && job.parts.every((part) => states.includes(part.state));

const updaters: Partial<Record<JobState, StateUpdater>> = {
  preparing: (state, job, event) =>
    hasOnlyPartsIn(job, ['prepared']) ? startParts(state, job, event) : [],
  starting: (state, job, event) => {
    if (hasOnlyPartsIn(job, ['finished'])) return finishJob(state, job, event);
    if (hasOnlyPartsIn(job, ['running', 'finished'])) setJobState(state, job, 'running', event.at);
    return [];
  },
  running: (state, job, event) => {
    if (hasOnlyPartsIn(job, ['finished'])) return finishJob(state, job, event);
    // Of an adopted gang, some parts may not have been started yet.
    const isStartable = hasOnlyPartsIn(job, ['prepared', 'running', 'finished']);
    return isStartable && !hasOnlyPartsIn(job, ['running', 'finished'])
      ? startParts(state, job, event)
      : [];
  },
  // A part returns to `running` when its checkpoint is taken or refused.
  checkpointing: (state, job, event) => {
    if (hasOnlyPartsIn(job, ['finished'])) return finishJob(state, job, event);
    return hasOnlyPartsIn(job, ['running', 'finished']) ? finishCheckpoint(state, job, event) : [];
  },
  stopping: (state, job, event) => {
    if (job.parts.every((part) => isPartEnded(part, event.at))) {
      return finishStop(state, job, event);
    }
    if (job.dueAt === null) setJobDeadline(state.jobs, job, event.at + state.timing.renewEveryMs);
    return [];
  },
};

/** Moves a job to its next state when its parts allow it. Cost: O(parts of the job). */
export const advanceJobState = (state: State, job: Job, event: EventTime): Effect[] =>
  updaters[job.state]?.(state, job, event) ?? [];
