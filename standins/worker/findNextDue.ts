import type { WorkerState } from './WorkerState.js';
import { computeEffectiveSpeed } from './computeEffectiveSpeed.js';

/** Finds the time at which work, a checkpoint or a lease ends next. */
export const findNextDue = (state: WorkerState, at: number): number | null => {
  const speed = computeEffectiveSpeed(state);
  let due = Infinity;
  state.tasks.forEach((task) => {
    if (task.endedAt !== null) return;
    due = Math.min(due, task.leaseUntil);
    if (task.state === 'running')
      due = Math.min(due, at + task.remainingMs / speed / task.speedShare);
    if (task.state === 'checkpointing' && !state.faults.hangCheckpoint) {
      due = Math.min(due, task.checkpointUntil);
    }
  });
  state.requests.forEach((request) => {
    if (request.phase === 'working') due = Math.min(due, at + request.remainingMs / speed);
  });
  return due === Infinity ? null : due;
};
