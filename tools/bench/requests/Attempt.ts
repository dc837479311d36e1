import type { GeneratedRequest } from './GeneratedRequest.js';

/** One attempt as a policy sees it. */
export interface Attempt {
  request: GeneratedRequest;
  number: number;
  /** Time at which the caller's deadline passes. */
  deadlineAt: number;
  /** Workers on which earlier attempts of the request failed. */
  avoid: string[];
}
