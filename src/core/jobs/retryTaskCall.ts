import type { Effect } from '../Effect.js';
import type { WorkerCall } from '../ownership/WorkerCall.js';
import type { State } from '../State.js';
import { sendTaskCall } from './sendTaskCall.js';
import { isPartEnded } from './isPartEnded.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import type { JobState } from './JobState.js';
import type { PartState } from './PartState.js';

interface RepeatableCall {
  kind: Exclude<WorkerCall['kind'], 'lease'>;
  partStates: readonly PartState[];
}

const callByState: Partial<Record<JobState, RepeatableCall>> = {
  preparing: { kind: 'prepareTask', partStates: ['assigned'] },
  starting: { kind: 'startTask', partStates: ['prepared'] },
  checkpointing: { kind: 'checkpointTask', partStates: ['checkpointing'] },
  stopping: {
    kind: 'stopTask',
    partStates: ['assigned', 'prepared', 'running', 'checkpointing', 'lost'],
  },
};

/** Repeats the task call of the job's state that a part has not answered; calls are idempotent. */
export const retryTaskCall = (state: State, job: Job, part: JobPart, at: number): Effect[] => {
  const repeatable = callByState[job.state];
  if (!repeatable?.partStates.includes(part.state) || isPartEnded(part, at)) return [];
  if (repeatable.kind === 'startTask' && state.jobs.pendingStarts.has(job.id)) return [];
  return sendTaskCall(state, job, part, repeatable.kind, at);
};
