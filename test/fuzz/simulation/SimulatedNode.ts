import type { NodeId } from '../../../src/core/NodeId.js';
import type { State } from '../../../src/core/State.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import type { Attempt } from './Attempt.js';
import type { Clock } from './Clock.js';

/** One daemon: the real state, and the fakes of its adapters. */
export interface SimulatedNode {
  id: NodeId;
  vmId: string;
  zone: string;
  /** Counts process starts; an event for an earlier process is dropped. */
  processNumber: number;
  alive: boolean;
  clock: Clock;
  state: State;
  /** True time until which the process is stopped; its events wait in `queue`. */
  pausedUntil: number;
  queuedEvents: UntimedEvent[];
  listening: boolean;
  attempts: Map<string, Attempt>;
}
