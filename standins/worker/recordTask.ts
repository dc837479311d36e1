import type { WorkerState } from './WorkerState.js';
import type { WorkerTask } from './WorkerTask.js';

/** Appends a task's start or end to the journal. */
export const recordTask = (
  state: WorkerState,
  kind: 'taskStarted' | 'taskEnded',
  task: WorkerTask,
  { at, wall }: { at: number; wall: number },
): void => {
  const { taskId, jobId, workspace, attempt, index, parts, accelerators } = task;
  state.journal.push({
    seq: state.journal.length + 1,
    at,
    wall,
    kind,
    taskId,
    jobId,
    workspace,
    attempt,
    index,
    parts,
    accelerators,
    state: task.state,
  });
};
