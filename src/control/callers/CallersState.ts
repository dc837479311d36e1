import type { CallerAppend } from './CallerAppend.js';
import type { OpenRequest } from './OpenRequest.js';

/** Requests of callers that are not answered yet. */
export interface CallersState {
  open: Map<number, OpenRequest>;
  /** Appends by the key of their record, so that a repeated request joins the first. */
  byJob: Map<string, CallerAppend>;
  /** The same appends by the number of their open call. */
  appends: Map<number, CallerAppend>;
  ready: boolean;
}
