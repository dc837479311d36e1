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
  /** Virtual time for weighted fair queueing: sum of estimated service times, divided by weight. */
  virtualTimeByWorkspace: Map<string, number>;
  /** Moving average of service time over all workers by request class, in milliseconds. */
  meanMsByClass: Map<string, number>;
  /** Monotonic time at which a request of the class last got a slot. */
  lastGrantAtByClass: Map<string, number>;
  /** Workers on which a class has failed since its last success. */
  failedWorkersByClass: Map<string, Set<string>>;
  /** Gateways that said goodbye: all their request counts are recorded. */
  departedGateways: Set<NodeId>;
  /** Idempotency keys by id, in order of use, oldest first. */
  keys: Map<string, KeyRecord>;
  /**
   * Keyed requests whose key claim the other schedulers have not acknowledged, with the sequence
   * number of the `replicate` message that contains the claim.
   */
  pendingKeyClaims: { request: WaitingRequest; sequence: number }[];
  /** Monotonic time until which keyed requests are refused, because earlier keys may be unknown. */
  keysRefusedUntil: number;
}
