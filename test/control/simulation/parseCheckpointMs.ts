/** Parses the work saved by a checkpoint: the number after the task name. */
export const parseCheckpointMs = (checkpoint: string): number =>
  Number(checkpoint.split('@')[1] ?? 0);
