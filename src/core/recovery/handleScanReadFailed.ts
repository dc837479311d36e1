import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Repeats a failed page of a scan after a pause; an outage only delays the recovery. */
export const handleScanReadFailed = (state: State, event: EventOf<'logReadFailed'>): Effect[] => {
  const scan = [...state.recovery.scans.values()].find(({ readId }) => readId === event.readId);
  if (!scan) return [];
  scan.readId = null;
  scan.nextReadAt = event.at + state.timing.logRetryMs;
  return [{ type: 'countRetry', reason: 'read-failed' }];
};
