import type { Effect } from '../Effect.js';
import { countHeldWorkers } from '../ownership/countHeldWorkers.js';
import { isLead } from '../ownership/isLead.js';
import { countQueuedRequests } from '../routing/countQueuedRequests.js';
import type { State } from '../State.js';
import { answerCommand } from './answerCommand.js';
import type { CommandHandler } from './CommandHandler.js';

const countJobs = (state: State): Record<string, number> => {
  const counts: Record<string, number> = {};
  state.jobs.jobs.forEach((job) => {
    counts[job.state] = (counts[job.state] ?? 0) + 1;
  });
  return counts;
};

const listPeers = (state: State, at: number): unknown[] =>
  [...state.membership.peers.values()].map((peer) => ({
    node: peer.node,
    zone: peer.zone,
    linked: peer.linked,
    heardMsAgo: Math.round(at - peer.lastHeardAt),
  }));

/** Answers with the status of the zone as this scheduler knows it. Cost: O(jobs + peers). */
export const handleShowStatus: CommandHandler<'showStatus'> = (state, request): Effect[] => {
  const { self, ownership, routing, guarantees, settings } = state;
  const data = {
    vmId: self.vmId,
    zone: self.zone,
    lead: isLead(state, request.at),
    registeredWorkers: ownership.leases.size,
    heldWorkers: countHeldWorkers(state, request.at),
    settingsVersion: settings.inForce?.version ?? -1,
    queuedRequests: countQueuedRequests(state),
    openGrants: routing.grants.size,
    keysRefusedForMs: Math.max(0, Math.round(routing.keysRefusedUntil - request.at)),
    jobs: countJobs(state),
    unplacedGuarantees: guarantees.unplaced,
    peers: listPeers(state, request.at),
  };
  return [answerCommand(request.from, request.requestId, { ok: true, data })];
};
