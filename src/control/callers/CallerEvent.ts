import type { CallerRequest } from './CallerRequest.js';

/** What callers do. */
export type CallerEvent =
  { type: 'callerRequested'; request: CallerRequest } | { type: 'callerGone'; requestId: number };
