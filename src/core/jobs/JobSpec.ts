import type { Adjacency } from '../settings/Adjacency.js';

/** Specification of a gang job, as submitted by a caller. */
export interface JobSpec {
  /** Number of parts that run together or not at all. */
  tasks: number;
  acceleratorsPerTask: number;
  adjacency: Adjacency;
  /** Run time as declared by the caller, in milliseconds; not trusted. */
  declaredMs: number;
  /** Preemptible jobs may use capacity lent by others, and may be stopped after a checkpoint. */
  preemptible: boolean;
  /** Urgent jobs reclaim their workspace's lent capacity at once. */
  urgent: boolean;
  /** Input for the worker; not interpreted here. */
  payload: string;
}
