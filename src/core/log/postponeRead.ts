import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import type { StreamRead } from './StreamRead.js';

/** Schedules a retry of a failed page read after a pause; an outage only delays the reader. */
export const postponeRead = (
  state: State,
  read: StreamRead,
  event: EventOf<'logReadFailed'>,
): Effect[] => {
  read.readId = null;
  read.nextReadAt = event.at + state.timing.logRetryMs;
  return [{ type: 'countRetry', reason: 'read-failed' }];
};
