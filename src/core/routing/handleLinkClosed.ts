import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { getNodeRole } from '../getNodeRole.js';
import type { State } from '../State.js';
import { noteLostCounts } from './noteLostCounts.js';
import { removeWaiting } from './removeWaiting.js';

/** Forgets what a lost gateway was waiting for and marks the slots that it uses. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { routing } = state;
  if (state.self.role !== 'scheduler' || getNodeRole(event.node) !== 'gateway') return [];
  const isGone = (request: { gateway: string }): boolean => request.gateway === event.node;
  removeWaiting(state, isGone);
  routing.grants.forEach((grant) => {
    if (isGone(grant)) grant.orphanedAt = event.at;
  });
  return noteLostCounts(state, event.node, event.wall);
};
