import type { Peer } from '../membership/Peer.js';
import type { State } from '../State.js';
import { chooseScheduler } from './chooseScheduler.js';
import type { Exchange } from './Exchange.js';
import { findKeyHomeZone } from './findKeyHomeZone.js';

/**
 * Chooses the scheduler that is asked for a grant: the lead of the key's home zone for a keyed
 * non-idempotent request, else a scheduler of the own zone, else the lead of any other zone.
 */
export const chooseExchangeScheduler = (
  state: State,
  exchange: Exchange,
  at: number,
): Peer | null => {
  const { idempotencyKey, idempotent, workspace } = exchange;
  if (idempotencyKey !== undefined && !idempotent) {
    const zone = findKeyHomeZone(state, workspace, idempotencyKey);
    return zone === null ? null : chooseScheduler(state, zone, true, at);
  }
  const localScheduler = chooseScheduler(state, state.self.zone, false, at);
  if (localScheduler) return localScheduler;
  return (
    Object.keys(state.settings.inForce?.tree.zones ?? {})
      .map((zone) => chooseScheduler(state, zone, true, at))
      .find((peer) => peer !== null) ?? null
  );
};
