import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { EffectRunners } from '../EffectRunners.js';

/** The one loop of a daemon. */
export interface DaemonLoop {
  /** Queues an event; it is decided at once unless another event is being decided. */
  push: (event: UntimedEvent) => void;
  /** Adds the effect runners of an adapter. */
  attach: (runners: EffectRunners) => void;
}
