import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { pollPeers } from './pollPeers.js';

/**
 * Schedules the repetition of a failed read and queries other recorders, which may reach the log.
 */
export const handleSettingsReadFailed = (
  state: State,
  event: EventOf<'logReadFailed'>,
): Effect[] => {
  const { tail } = state.settings;
  if (event.readId !== tail.readId) return [];
  tail.readId = null;
  tail.nextReadAt = event.at + state.timing.logRetryMs;
  return [{ type: 'countRetry', reason: 'read-failed' }, ...pollPeers(state)];
};
