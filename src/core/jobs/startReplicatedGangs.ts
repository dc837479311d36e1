import type { Effect } from '../Effect.js';
import { isReplicated } from '../replication/isReplicated.js';
import type { State } from '../State.js';
import { sendTaskCall } from './sendTaskCall.js';
import type { Job } from './Job.js';

const callPreparedParts = (state: State, job: Job, at: number): Effect[] =>
  job.parts
    .filter((part) => part.state === 'prepared')
    .flatMap((part) => sendTaskCall(state, job, part, 'startTask', at));

/**
 * Starts the gangs whose `starting` state is replicated to every scheduler that may become lead.
 * Gangs that have left this state no longer wait for a start.
 * Cost: O(gangs that wait for a copy + their parts).
 */
export const startReplicatedGangs = (state: State, at: number): Effect[] => {
  const effects: Effect[] = [];
  state.jobs.pendingStarts.forEach((sequence, jobId) => {
    const job = state.jobs.jobs.get(jobId);
    const isStarting = job?.state === 'starting';
    if (isStarting && !isReplicated(state, sequence, at)) return;
    state.jobs.pendingStarts.delete(jobId);
    if (isStarting) effects.push(...callPreparedParts(state, job, at));
  });
  return effects;
};
