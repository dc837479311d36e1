import type { GeneratedRequest } from './GeneratedRequest.js';

/** An attempt of a request, as policies see it. */
export interface Attempt {
  request: GeneratedRequest;
  /** Counted from 1. */
  number: number;
  /** Time at which the caller's deadline passes. */
  deadlineAt: number;
  /** Workers on which earlier attempts of the request failed. */
  avoid: string[];
}
