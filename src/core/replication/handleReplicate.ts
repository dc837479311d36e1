import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { applyReplicatedJob } from '../jobs/applyReplicatedJob.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';

// A supplement comes from a scheduler that is not lead, so it adds unknown entries, but changes no
// known ones and does not count as a complete copy.
const addUnknownEntries = (state: State, event: EventOf<'replicate'>): Effect[] => {
  const { routing, jobs, timing } = state;
  const forgetAt = event.at + timing.keyRetentionMs;
  event.keys
    .filter((key) => !routing.keys.has(key.id))
    .forEach((key) => routing.keys.set(key.id, { ...key, forgetAt }));
  event.jobs
    .filter((job) => !jobs.jobs.has(job.id))
    .forEach((job) => applyReplicatedJob(state, job, event.at));
  return [];
};

/** Stores a lead's copy and acknowledges it; a lead itself ignores copies. Cost: O(changes). */
export const handleReplicate = (state: State, event: EventOf<'replicate'>): Effect[] => {
  if (isLead(state, event.at)) return [];
  if (event.supplement) return addUnknownEntries(state, event);
  const { routing, replication, timing } = state;
  event.keys.forEach((key) => {
    // Deleted first, so that the table stays in order of last use.
    routing.keys.delete(key.id);
    routing.keys.set(key.id, { ...key, forgetAt: event.at + timing.keyRetentionMs });
  });
  event.freedKeys.forEach((id) => routing.keys.delete(id));
  event.jobs.forEach((job) => applyReplicatedJob(state, job, event.at));
  if (event.complete) replication.lastCompleteCopyAt = event.at;
  return [
    { type: 'send', to: event.from, message: { type: 'replicateAck', sequence: event.sequence } },
  ];
};
