/**
 * State of a task. `recording`: its start is being persisted; `starting`: the start was sent;
 * `stopping`: a stop was sent to its worker or is about to be.
 */
export type TaskState = 'waiting' | 'recording' | 'starting' | 'running' | 'stopping' | 'done';
