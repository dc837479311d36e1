import type { Schedule } from './Schedule.js';
import type { Step } from './Step.js';

/** A job as a caller defines it. */
export interface JobDefinition {
  /** Opaque specification, passed to the workers unchanged. */
  spec: string;
  steps: Step[];
  /** Null for a job that runs once. */
  schedule: Schedule | null;
}
