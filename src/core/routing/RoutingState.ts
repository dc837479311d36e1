import type { NodeId } from '../NodeId.js';
import type { Grant } from './Grant.js';
import type { KeyRecord } from './KeyRecord.js';
import type { WaitingRequest } from './WaitingRequest.js';
import type { WorkerLoad } from './WorkerLoad.js';

/** Queues, grants and idempotency keys of a scheduler. */
export interface RoutingState {
  /** Observed load by worker id. */
  workerLoads: Map<string, WorkerLoad>;
  /** Open grants by attempt id. */
  grants: Map<string, Grant>;
  /** Requests that wait for a slot, oldest first. */
  queuesByWorkspace: Map<string, WaitingRequest[]>;
  /** Virtual time for weighted fair queueing: sum of estimated service times by weight. */
  virtualTimeByWorkspace: Map<string, number>;
  /** Moving average of service time over all workers by request class, in milliseconds. */
  meanMsByClass: Map<string, number>;
  /** Monotonic time at which a request of the class last got a slot. */
  lastTurnAtByClass: Map<string, number>;
  /** Workers on which a class has failed since its last success. */
  failedWorkersByClass: Map<string, Set<string>>;
  /** Gateways that said goodbye: all their request counts are recorded. */
  departedGateways: Set<NodeId>;
  /** Idempotency keys by id, in order of use, oldest first. */
  keys: Map<string, KeyRecord>;
  /** Keyed requests whose key claim, with this replication sequence, is not acknowledged yet. */
  pendingKeyClaims: { request: WaitingRequest; sequence: number }[];
  /** Monotonic time until which keyed requests are refused, because earlier keys may be unknown. */
  keysRefusedUntil: number;
}
