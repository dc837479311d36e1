import type { RequestSpec } from './RequestSpec.js';

/** One attempt as a policy sees it. */
export interface Attempt {
  request: RequestSpec;
  attempt: number;
  /** Time at which the caller's deadline passes. */
  deadlineAt: number;
  /** Workers on which earlier attempts of the request failed. */
  avoid: string[];
}
