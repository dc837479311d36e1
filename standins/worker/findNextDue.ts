import type { WorkerState } from './WorkerState.js';
import { computeEffectiveSpeed } from './computeEffectiveSpeed.js';

/** Finds the time at which the next work, checkpoint or lease ends. */
export const findNextDue = (state: WorkerState, at: number): number | null => {
  const rate = computeEffectiveSpeed(state);
  let due = Infinity;
  state.tasks.forEach((task) => {
    if (task.endedAt !== null) return;
    due = Math.min(due, task.leaseUntil);
    if (task.state === 'running')
      due = Math.min(due, at + task.remainingMs / rate / task.speedShare);
    if (task.state === 'checkpointing' && !state.faults.hangCheckpoint) {
      due = Math.min(due, task.checkpointUntil);
    }
  });
  state.requests.forEach((request) => {
    if (request.phase === 'working') due = Math.min(due, at + request.remainingMs / rate);
  });
  return due === Infinity ? null : due;
};
