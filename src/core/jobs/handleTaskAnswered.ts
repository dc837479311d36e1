import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { endPart } from './endPart.js';
import { failGang } from './failGang.js';
import { findPart } from './findPart.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import { markPartRunning } from './markPartRunning.js';
import { resolveLostPart } from './resolveLostPart.js';
import { advanceJobState } from './advanceJobState.js';

type Answer = EventOf<'taskAnswered'>;
type AnswerHandler = (state: State, job: Job, part: JobPart, event: Answer) => Effect[];

const failRefusedStart = (state: State, job: Job, part: JobPart, event: Answer): Effect[] =>
  failGang(state, job, event, {
    reason: 'gang-part-refused',
    blame: 'task',
    workerIds: [part.workerId],
  });

const answerHandlers: Record<Answer['call'], AnswerHandler> = {
  prepareTask: (state, job, part, event) => {
    if (job.state !== 'preparing' || part.state !== 'assigned') return [];
    if (!event.accepted) return failRefusedStart(state, job, part, event);
    part.state = 'prepared';
    part.changedAt = event.at;
    return advanceJobState(state, job, event);
  },
  startTask: (state, job, part, event) => {
    if (part.state !== 'prepared') return [];
    if (event.accepted) {
      return [...markPartRunning(job, part, event), ...advanceJobState(state, job, event)];
    }
    return job.state === 'starting' ? failRefusedStart(state, job, part, event) : [];
  },
  checkpointTask: (state, job, part, event) => {
    if (part.state !== 'checkpointing') return [];
    part.state = 'running';
    part.changedAt = event.at;
    part.checkpoint = (event.accepted && event.checkpoint) || null;
    return advanceJobState(state, job, event);
  },
  // A worker refuses a stop call only for a task that it does not know and hence does not run.
  stopTask: (state, job, part, event) => {
    if (job.state !== 'stopping') return [];
    if (part.state === 'lost') return resolveLostPart(state, job, part, event);
    return [...endPart(state, job, part, 'stopped', event), ...advanceJobState(state, job, event)];
  },
};

/** Handles a worker's answer to a task call. Cost: O(parts of the job). */
export const handleTaskAnswered = (state: State, event: Answer): Effect[] => {
  const found = findPart(state.jobs, event.taskId);
  if (!found) return [{ type: 'count', name: 'late_answer_dropped' }];
  return answerHandlers[event.call](state, found.job, found.part, event);
};
