import type { RunState } from '../../standins/task-worker/RunState.js';

/** A run in the journal of its worker. */
export interface JournalRun extends Omit<RunState, 'kind'> {
  /** `gone` if its worker was killed during the run. */
  kind: RunState['kind'] | 'gone';
  workerId: string;
}
