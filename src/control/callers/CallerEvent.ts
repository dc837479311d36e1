import type { CallerRequest } from './CallerRequest.js';

/** What callers do. */
export interface CallerEvent {
  type: 'callerRequested';
  request: CallerRequest;
}
