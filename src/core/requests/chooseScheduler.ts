import { isSchedulerLive } from '../membership/isSchedulerLive.js';
import { listZoneSchedulers } from '../membership/listZoneSchedulers.js';
import type { Peer } from '../membership/Peer.js';
import type { State } from '../State.js';

const comparePreference = (a: Peer, b: Peer): number =>
  Number(b.heartbeat!.lead) - Number(a.heartbeat!.lead) ||
  b.heartbeat!.heldWorkers - a.heartbeat!.heldWorkers;

/**
 * Chooses a live scheduler of a zone: its lead, else the one that holds the most workers. With
 * `mustLead`, only the lead is chosen. Null if there is none.
 */
export const chooseScheduler = (
  state: State,
  zone: string,
  mustLead: boolean,
  at: number,
): Peer | null =>
  listZoneSchedulers(state, zone)
    .filter((peer) => isSchedulerLive(state, peer, at))
    .filter((peer) => (mustLead ? peer.heartbeat!.lead : peer.heartbeat!.heldWorkers > 0))
    .sort(comparePreference)[0] ?? null;
