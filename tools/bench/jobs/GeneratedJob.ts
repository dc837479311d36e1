import type { JobSpec } from '../../../src/core/jobs/JobSpec.js';

/** A generated job; `runMs` is its true run time, on which no policy may base a decision. */
export interface GeneratedJob {
  id: string;
  arrivalAt: number;
  workspace: string;
  spec: JobSpec;
  runMs: number;
  /** Group under which its completion time is reported. */
  group: string;
}
