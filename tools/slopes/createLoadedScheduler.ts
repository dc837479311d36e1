import type { State } from '../../src/core/State.js';
import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { targetSize } from './targetSize.js';

/** Creates a lead that holds a number of workers, with as many tasks per worker as the target. */
export const createLoadedScheduler = (workers: number): State => {
  const state = createDaemonState('scheduler', { workers });
  addRunningTasks(state, Math.round((workers * targetSize.tasks) / targetSize.workers));
  return state;
};
