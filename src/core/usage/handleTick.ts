import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { adoptReplicas } from './adoptReplicas.js';
import { appendQueuedRecords } from './appendQueuedRecords.js';
import { exitRecorder } from './exitRecorder.js';
import { readWorkerUsage } from './readWorkerUsage.js';
import { sendUsageCopies } from './sendUsageCopies.js';
import { sendOutbox } from './sendOutbox.js';
import { reportUnacknowledgedRecords } from './reportUnacknowledgedRecords.js';
import { retryOutbox } from './retryOutbox.js';
import { retryReplicas } from './retryReplicas.js';
import { advanceReports } from './advanceReports.js';

/** Sends, replicates, appends, compares and reports usage records, as due. */
export const handleTick = (state: State, { at }: EventOf<'tick'>): Effect[] => [
  ...sendUsageCopies(state),
  ...sendOutbox(state, at),
  ...retryOutbox(state, at),
  ...retryReplicas(state, at),
  ...adoptReplicas(state, at),
  ...appendQueuedRecords(state, 'usage', at),
  ...appendQueuedRecords(state, 'jobs', at),
  ...advanceReports(state, at),
  ...readWorkerUsage(state, at),
  ...reportUnacknowledgedRecords(state, at),
  ...exitRecorder(state, at),
];
