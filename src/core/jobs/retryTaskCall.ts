import type { Effect } from '../Effect.js';
import type { WorkerCall } from '../ownership/WorkerCall.js';
import type { State } from '../State.js';
import { sendTaskCall } from './sendTaskCall.js';
import { isPartEnded } from './isPartEnded.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import type { JobState } from './JobState.js';
import type { PartState } from './PartState.js';

interface Repeat {
  kind: Exclude<WorkerCall['kind'], 'lease'>;
  when: readonly PartState[];
}

const repeats: Partial<Record<JobState, Repeat>> = {
  preparing: { kind: 'prepareTask', when: ['assigned'] },
  starting: { kind: 'startTask', when: ['prepared'] },
  checkpointing: { kind: 'checkpointTask', when: ['checkpointing'] },
  stopping: {
    kind: 'stopTask',
    when: ['assigned', 'prepared', 'running', 'checkpointing', 'lost'],
  },
};

/** Repeats the call of the job's phase that a part has not answered; the calls are idempotent. */
export const retryTaskCall = (state: State, job: Job, part: JobPart, at: number): Effect[] => {
  const repeat = repeats[job.state];
  if (!repeat?.when.includes(part.state) || isPartEnded(part, at)) return [];
  if (repeat.kind === 'startTask' && state.jobs.pendingStarts.has(job.id)) return [];
  return sendTaskCall(state, job, part, repeat.kind, at);
};
