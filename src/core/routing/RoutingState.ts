import type { NodeId } from '../NodeId.js';
import type { Grant } from './Grant.js';
import type { KeyRecord } from './KeyRecord.js';
import type { WaitingRequest } from './WaitingRequest.js';
import type { WorkerLoad } from './WorkerLoad.js';

/** Queues, grants and idempotency keys of a scheduler. */
export interface RoutingState {
  workerLoads: Map<string, WorkerLoad>;
  grants: Map<string, Grant>;
  queuesByWorkspace: Map<string, WaitingRequest[]>;
  /** Virtual time of each workspace for fair turns. */
  virtualTimeByWorkspace: Map<string, number>;
  /** Mean service time of each class over all workers, in milliseconds. */
  meanMsByClass: Map<string, number>;
  /** Monotonic time at which a request of each class last had its turn. */
  lastTurnAtByClass: Map<string, number>;
  /** Workers on which each class failed since it last succeeded. */
  failedWorkersByClass: Map<string, Set<string>>;
  /** Gateways that have handed their counts of requests over before they end. */
  departedGateways: Set<NodeId>;
  keys: Map<string, KeyRecord>;
  /** Keyed requests that wait until the zone's other schedulers know their key. */
  pendingKeyClaims: { request: WaitingRequest; sequence: number }[];
  /** Keyed requests are refused until this monotonic time. */
  keysRefusedUntil: number;
}
