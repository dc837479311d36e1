/** Parses the work saved by a checkpoint, the number after the `@`; 0 for an empty one. */
export const parseCheckpointMs = (checkpoint: string): number =>
  Number(checkpoint.split('@')[1] ?? 0);
