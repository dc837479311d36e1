/** Work that a checkpoint stands for: the number after the task's name. */
export const parseCheckpointMs = (checkpoint: string): number =>
  Number(checkpoint.split('@')[1] ?? 0);
