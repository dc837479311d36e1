import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isCaughtUp } from '../streams/isCaughtUp.js';
import type { CallerRequest } from './CallerRequest.js';
import { refuseCaller } from './refuseCaller.js';

/** Refuses a request for a job that this VM does not know; it may be one that it has yet to read. */
export const refuseUnknownJob = (state: State, request: CallerRequest, now: Now): Effect[] =>
  refuseCaller(
    state,
    request,
    isCaughtUp(state, 'journal', now) ? 'no-such-job' : 'store-behind',
    now.at,
  );
