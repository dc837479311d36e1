import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isCaughtUp } from '../streams/isCaughtUp.js';
import type { CallerRequest } from './CallerRequest.js';
import { refuseCaller } from './refuseCaller.js';

/** Refuses a request for an unknown job; while the journal is not caught up, the job may exist. */
export const refuseUnknownJob = (state: State, request: CallerRequest, now: Now): Effect[] =>
  refuseCaller(
    state,
    request,
    isCaughtUp(state, 'journal', now) ? 'no-such-job' : 'store-behind',
    now.at,
  );
