import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/**
 * Asks a recorder for its tree when the link to it opens. A new VM so gets a tree while the log is
 * down, and a VM catches up after a partition; a recorder without a newer tree does not answer.
 */
export const handleLinkOpened = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  if (!event.node.endsWith('/recorder')) return [];
  const version = state.settings.inForce?.version ?? -1;
  return [{ type: 'send', to: event.node, message: { type: 'settingsQuery', version } }];
};
