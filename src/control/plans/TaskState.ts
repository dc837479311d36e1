/**
 * Where a task is. `recording`: its start is being written down; `starting`: the start was sent;
 * `stopping`: its worker was told to stop it, or will be.
 */
export type TaskState = 'waiting' | 'recording' | 'starting' | 'running' | 'stopping' | 'done';
