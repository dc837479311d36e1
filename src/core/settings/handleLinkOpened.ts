import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Queries the settings of a newly connected recorder. A new VM thus gets settings while the log is
 * unavailable, and any VM gets missed changes after a partition. A recorder without newer settings
 * does not answer.
 */
export const handleLinkOpened = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  if (!event.node.endsWith('/recorder')) return [];
  const version = state.settings.inForce?.version ?? -1;
  return [{ type: 'send', to: event.node, message: { type: 'settingsQuery', version } }];
};
