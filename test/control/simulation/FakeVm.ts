import type { State } from '../../../src/control/State.js';

/** An entry VM of the fake platform. */
export interface FakeVm {
  id: string;
  state: State;
  /** CPU share, in cores. */
  cores: number;
  /** Whether its daemon is running. */
  up: boolean;
  /** Whether the store refuses the calls of this VM. */
  partitionedFromStore: boolean;
  /** Whether its calls reach no worker. */
  partitionedFromWorkers: boolean;
  /** Time until which it is suspended; its events are delivered then. */
  pausedUntil: number;
  /** Time for which its daemon was responsive, and the time of its last event. */
  responsiveMs: number;
  lastEventAt: number;
  /** Incremented at each start and end, so that answers to an earlier incarnation are dropped. */
  incarnation: number;
}
