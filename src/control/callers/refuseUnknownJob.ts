import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isCurrent } from '../streams/isCurrent.js';
import type { CallerRequest } from './CallerRequest.js';
import { refuseCaller } from './refuseCaller.js';

/** Refuses a request for an unknown job; while the view of the journal is old, the job may exist. */
export const refuseUnknownJob = (state: State, request: CallerRequest, now: Now): Effect[] =>
  refuseCaller(
    state,
    request,
    isCurrent(state, 'journal', now) ? 'no-such-job' : 'store-behind',
    now.at,
  );
