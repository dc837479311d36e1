import type { State } from '../State.js';

/** Lists the tasks on a worker whose leases may be renewed at a monotonic time. */
export const listRenewableTasks = (state: State, workerId: string, _at: number): string[] => [
  ...(state.jobs.tasksByWorker.get(workerId) ?? []),
];
