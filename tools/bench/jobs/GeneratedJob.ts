import type { JobSpec } from '../../../src/core/jobs/JobSpec.js';

/** One generated job; `runMs` is its true run time, which no policy reads. */
export interface GeneratedJob {
  id: string;
  arrivalAt: number;
  workspace: string;
  spec: JobSpec;
  runMs: number;
  /** Group under which its completion time is reported. */
  group: string;
}
