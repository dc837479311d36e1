import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { EffectRunners } from '../EffectRunners.js';

/** Event loop of a gateway, scheduler or recorder. */
export interface DaemonLoop {
  /** Queues an event; it is reduced before this returns, unless another one is being reduced. */
  push: (event: UntimedEvent) => void;
  /** Adds the effect runners of an adapter. */
  attach: (runners: EffectRunners) => void;
}
