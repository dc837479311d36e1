import type { CallerAppend } from './CallerAppend.js';
import type { OpenRequest } from './OpenRequest.js';

/** Requests of callers that are not answered yet. */
export interface CallersState {
  openRequests: Map<number, OpenRequest>;
  /** Appends by the key of their record, so that a repeated request joins the first. */
  appendsByKey: Map<string, CallerAppend>;
  /** The same appends by the number of their open call. */
  appendsById: Map<number, CallerAppend>;
  ready: boolean;
}
