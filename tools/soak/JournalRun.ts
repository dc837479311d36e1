import type { RunState } from '../../standins/task-worker/RunState.js';

/** A run as its worker knows it. */
export interface JournalRun extends Omit<RunState, 'kind'> {
  /** `gone`: its worker was killed. */
  kind: RunState['kind'] | 'gone';
  workerId: string;
}
