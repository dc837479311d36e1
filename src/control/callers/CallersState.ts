import type { CallerAppend } from './CallerAppend.js';
import type { OpenRequest } from './OpenRequest.js';

/** Requests of callers that are not answered yet, and the readiness to serve them. */
export interface CallersState {
  /** Unanswered requests by ID. */
  openRequests: Map<number, OpenRequest>;
  /** Appends by record type and job ID, so that a repeated request joins the pending append. */
  appendsByKey: Map<string, CallerAppend>;
  /** The appends with an attempt in flight, by call ID. */
  appendsById: Map<number, CallerAppend>;
  /** Readiness last reported to the load balancer. */
  ready: boolean;
}
