import type { Queue } from '../config/Queue.js';
import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { CallerRequest } from './CallerRequest.js';

/** Handles a request for one operation on a job. */
export type OperationHandler = (
  state: State,
  request: CallerRequest,
  target: { id: string; queue: Queue; workspace: string },
  now: Now,
) => Effect[];
