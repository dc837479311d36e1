import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { applyReplicatedJob } from '../jobs/applyReplicatedJob.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';

/** Stores a lead's copy; a scheduler that leads itself takes none. O(changes). */
export const handleReplicate = (state: State, event: EventOf<'replicate'>): Effect[] => {
  if (isLead(state, event.at)) return [];
  const { routing, replication, timing } = state;
  event.keys.forEach((key) => {
    // Deleting first keeps the table in order of use.
    routing.keys.delete(key.id);
    routing.keys.set(key.id, { ...key, forgetAt: event.at + timing.keyRetentionMs });
  });
  event.freedKeys.forEach((id) => routing.keys.delete(id));
  event.jobs.forEach((job) => applyReplicatedJob(state, job, event.at));
  if (event.complete) replication.lastCopyAt = event.at;
  return [
    { type: 'send', to: event.from, message: { type: 'replicateAck', sequence: event.sequence } },
  ];
};
