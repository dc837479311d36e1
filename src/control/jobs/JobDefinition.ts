import type { Schedule } from './Schedule.js';
import type { Step } from './Step.js';

/** What a caller asks for. */
export interface JobDefinition {
  /** Passed to the workers as it is. */
  spec: string;
  steps: Step[];
  schedule: Schedule | null;
}
