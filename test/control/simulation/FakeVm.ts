import type { State } from '../../../src/control/State.js';

/** An entry VM of the fake platform. */
export interface FakeVm {
  id: string;
  state: State;
  /** Share of a usual core that it has. */
  cores: number;
  up: boolean;
  /** Is refused by the store while others are served. */
  partitionedFromStore: boolean;
  /** Reaches no worker. */
  partitionedFromWorkers: boolean;
  /** Does nothing before this time; events wait. */
  pausedUntil: number;
  /** Raised at each start, so that answers to a former life are dropped. */
  incarnation: number;
}
