import type { Effect } from '../../../src/core/Effect.js';
import type { NodeId } from '../../../src/core/NodeId.js';
import type { reduce } from '../../../src/core/reduce.js';
import type { SettingsSnapshot } from '../../../src/core/settings/SettingsSnapshot.js';
import type { ScheduledAction } from './ScheduledAction.js';
import type { NetworkPartition } from './NetworkPartition.js';
import type { FakeLog } from './FakeLog.js';
import type { FakeWorker } from './FakeWorker.js';
import type { History } from './History.js';
import type { Link } from './Link.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Nodes, workers, the log and scheduled actions; times are simulation times in milliseconds. */
export interface Simulation {
  now: number;
  scheduledActions: ScheduledAction[];
  nextSequence: number;
  random: () => number;
  reduce: typeof reduce;
  /**
   * Executes an effect. A field, because effects push events, so that imports would be circular.
   */
  runEffect: (simulation: Simulation, node: SimulatedNode, effect: Effect) => void;
  nodes: Map<NodeId, SimulatedNode>;
  links: Link[];
  workers: Map<string, FakeWorker>;
  log: FakeLog;
  partitions: NetworkPartition[];
  /** Time at which the last fault that a command injected ends. */
  faultsEndAt: number;
  /** Time until which calls to workers are slow. */
  slowUntil: number;
  /** Time until which calls to workers, and the events of attempts, are duplicated. */
  duplicateUntil: number;
  /** Settings that register the workers. */
  snapshot: SettingsSnapshot;
  history: History;
  tracing: boolean;
}
