import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { createLogSlowdown } from './createLogSlowdown.js';
import type { Worker } from './Worker.js';

const createWorker = (id: string, now: Now): Worker => ({
  id,
  entry: null,
  removedAt: null,
  draining: false,
  address: '',
  incarnation: 0,
  restarts: 0,
  clock: null,
  leaseExpiresAt: 0,
  lastListedAt: Number.NEGATIVE_INFINITY,
  pollSentAt: null,
  nextPollAt: now.at,
  failedPolls: 0,
  lastPersistedEnd: 0,
  ackDue: false,
  lastAppliedEnd: 0,
  tasks: new Map(),
  allocated: { cpu: 0, memMb: 0, gpu: 0 },
  unplannedRuns: new Map(),
  logSlowdown: createLogSlowdown(),
  failedRunsByJob: new Map(),
  quarantinedUntil: Number.NEGATIVE_INFINITY,
  quarantineCount: 0,
});

/** Gets a worker, or adds one that has not answered yet. */
export const getOrCreateWorker = (term: Term, id: string, now: Now): Worker => {
  const existing = term.workers.get(id);
  if (existing) return existing;
  const worker = createWorker(id, now);
  term.workers.set(id, worker);
  return worker;
};
