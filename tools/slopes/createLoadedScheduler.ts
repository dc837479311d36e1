import type { State } from '../../src/core/State.js';
import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { targetSize } from './targetSize.js';

/** Creates the leading scheduler of a zone with the given number of workers, loaded as at the target size. */
export const createLoadedScheduler = (workers: number): State => {
  const state = createDaemonState('scheduler', { workers });
  addRunningTasks(state, Math.round((workers * targetSize.tasks) / targetSize.workers));
  return state;
};
