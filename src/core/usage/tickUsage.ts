import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { adoptReplicas } from './adoptReplicas.js';
import { appendLane } from './appendLane.js';
import { exitRecorder } from './exitRecorder.js';
import { readWorkerUsage } from './readWorkerUsage.js';
import { sendUsageCopies } from './sendUsageCopies.js';
import { sendOutbox } from './sendOutbox.js';
import { measureUsage } from './measureUsage.js';
import { retryOutbox } from './retryOutbox.js';
import { retryReplicas } from './retryReplicas.js';
import { tickReports } from './tickReports.js';

/** Does the due work on usage records. */
export const tickUsage = (state: State, { at }: EventOf<'tick'>): Effect[] => [
  ...sendUsageCopies(state),
  ...sendOutbox(state, at),
  ...retryOutbox(state, at),
  ...retryReplicas(state, at),
  ...adoptReplicas(state, at),
  ...appendLane(state, 'usage', at),
  ...appendLane(state, 'jobs', at),
  ...tickReports(state, at),
  ...readWorkerUsage(state, at),
  ...measureUsage(state, at),
  ...exitRecorder(state, at),
];
