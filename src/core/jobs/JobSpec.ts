import type { Adjacency } from '../settings/Adjacency.js';

/** What a caller asks for when submitting a gang job. */
export interface JobSpec {
  /** Number of parts that run together or not at all. */
  tasks: number;
  acceleratorsPerTask: number;
  adjacency: Adjacency;
  /** Run time as declared by the caller, in milliseconds; not trusted. */
  declaredMs: number;
  /** Preemptible jobs may borrow capacity and be stopped after a checkpoint. */
  preemptible: boolean;
  /** Urgent jobs reclaim their workspace's lent capacity at once. */
  urgent: boolean;
  /** Opaque input for the worker. */
  payload: string;
}
