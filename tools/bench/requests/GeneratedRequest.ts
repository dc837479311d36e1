import type { RequestClass } from './RequestClass.js';

/** One generated request; a policy other than the bound must not read `sizeMs`. */
export interface GeneratedRequest {
  id: string;
  arrivalAt: number;
  workspace: string;
  requestClass: RequestClass;
  /** Service time on a worker of slowness 1, in milliseconds. */
  serviceMs: number;
  timeoutMs: number;
  /** Whether the caller leaves at the scenario's `cancelAt` if the request still waits. */
  cancelsIfWaiting: boolean;
}
