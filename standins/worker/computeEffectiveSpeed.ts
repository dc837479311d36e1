import type { WorkerState } from './WorkerState.js';

/** Computes the speed of all work; overload of slots or accelerators slows all of it down. */
export const computeEffectiveSpeed = (state: WorkerState): number => {
  let accelerators = 0;
  state.tasks.forEach((task) => {
    if (task.startedWall !== null && task.endedAt === null) accelerators += task.accelerators;
  });
  const overload = Math.max(
    1,
    state.requests.size / state.slots,
    accelerators / state.accelerators,
  );
  return state.speed / state.faults.slowFactor / overload;
};
