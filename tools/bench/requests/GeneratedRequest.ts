import type { RequestClass } from './RequestClass.js';

/** A generated request; only the oracles may read `serviceMs`. */
export interface GeneratedRequest {
  id: string;
  arrivalAt: number;
  workspace: string;
  requestClass: RequestClass;
  /** Service time on a worker of slowness 1, in milliseconds. */
  serviceMs: number;
  timeoutMs: number;
  /** Whether the caller disconnects at the scenario's `cancelAt` if the request still waits. */
  cancelsIfWaiting: boolean;
}
