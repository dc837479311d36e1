import type { Effect } from '../Effect.js';
import type { State } from '../State.js';

/** Number of recorders asked at once; the next call asks the following ones. */
const peersPerQuery = 3;

/** Queries some of the linked recorders for newer settings, others at each call. */
export const pollPeers = (state: State): Effect[] => {
  const { inForce, tail } = state.settings;
  const nodes = [...state.membership.peers.values()]
    .filter(({ node, linked }) => linked && node.endsWith('/recorder'))
    .map(({ node }) => node)
    .sort();
  const startIndex = nodes.length === 0 ? 0 : (tail.nextReadNumber * peersPerQuery) % nodes.length;
  const message = { type: 'settingsQuery', version: inForce?.version ?? -1 } as const;
  return [...nodes.slice(startIndex), ...nodes.slice(0, startIndex)]
    .slice(0, peersPerQuery)
    .map((to) => ({ type: 'send', to, message }));
};
