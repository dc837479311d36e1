import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';
import { hasTimeLeft } from './hasTimeLeft.js';
import { refuseAppendRequests } from './refuseAppendRequests.js';

/** Refuses the requests of an append whose callers can't wait any longer; the append goes on for the others. */
export const refuseOverdueRequests = (state: State, append: CallerAppend, now: Now): Effect[] => {
  const isWaiting = (requestId: number): boolean => {
    const request = state.callers.openRequests.get(requestId);
    return request !== undefined && hasTimeLeft(request, now);
  };
  const overdueIds = append.requestIds.filter((requestId) => !isWaiting(requestId));
  append.requestIds = append.requestIds.filter(isWaiting);
  return refuseAppendRequests(state, append, overdueIds, 'store-unanswered', now);
};
