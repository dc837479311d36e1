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

type PhaseUpdater = (state: State, job: Job, event: EventTime) => Effect[];

const isAll = (job: Job, states: readonly PartState[]): boolean =>
  job.parts.length === job.spec.tasks && job.parts.every((part) => states.includes(part.state));

const updaters: Partial<Record<JobState, PhaseUpdater>> = {
  preparing: (state, job, event) => (isAll(job, ['prepared']) ? startParts(state, job, event) : []),
  starting: (state, job, event) => {
    if (isAll(job, ['finished'])) return finishJob(state, job, event);
    if (isAll(job, ['running', 'finished'])) setJobState(state, job, 'running', event.at);
    return [];
  },
  running: (state, job, event) => {
    if (isAll(job, ['finished'])) return finishJob(state, job, event);
    // An adopted gang may have been started only in part.
    const partial = isAll(job, ['prepared', 'running', 'finished']);
    return partial && !isAll(job, ['running', 'finished']) ? startParts(state, job, event) : [];
  },
  checkpointing: (state, job, event) => {
    if (isAll(job, ['finished'])) return finishJob(state, job, event);
    return isAll(job, ['running', 'finished']) ? finishCheckpoint(state, job, event) : [];
  },
  stopping: (state, job, event) => {
    if (job.parts.every((part) => isPartEnded(part, event.at))) {
      return finishStop(state, job, event);
    }
    if (job.dueAt === null) setJobDeadline(state.jobs, job, event.at + state.timing.renewEveryMs);
    return [];
  },
};

/** Moves a job to its next phase if its parts allow it. Cost: O(parts of the job). */
export const advanceJobState = (state: State, job: Job, event: EventTime): Effect[] =>
  updaters[job.state]?.(state, job, event) ?? [];
