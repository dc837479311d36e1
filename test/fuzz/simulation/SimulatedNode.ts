import type { NodeId } from '../../../src/core/NodeId.js';
import type { State } from '../../../src/core/State.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import type { Attempt } from './Attempt.js';
import type { Clock } from './Clock.js';

/** One daemon: its real state, and the state of its simulated process and adapters. */
export interface SimulatedNode {
  id: NodeId;
  vmId: string;
  zone: string;
  /** Number of the current process, from 1; an event for an earlier process is dropped. */
  processNumber: number;
  alive: boolean;
  clock: Clock;
  state: State;
  /** Simulation time until which the process is paused; its events wait in `queuedEvents`. */
  pausedUntil: number;
  queuedEvents: UntimedEvent[];
  /** Whether a gateway accepts new connections. */
  listening: boolean;
  /** Attempts of the current process, by attempt id. */
  attempts: Map<string, Attempt>;
}
