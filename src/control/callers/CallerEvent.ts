import type { CallerRequest } from './CallerRequest.js';

/** A request of a caller. */
export interface CallerEvent {
  type: 'callerRequested';
  request: CallerRequest;
}
