import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { createSlowness } from './createSlowness.js';
import type { Worker } from './Worker.js';

const createWorker = (id: string, now: Now): Worker => ({
  id,
  entry: null,
  removedAt: null,
  leaving: false,
  address: '',
  born: 0,
  clock: null,
  leaseUntil: 0,
  lastListedAt: Number.NEGATIVE_INFINITY,
  holdSentAt: null,
  nextHoldAt: now.at,
  failures: 0,
  lastSeen: 0,
  ackDue: false,
  lastEnd: 0,
  tasks: new Map(),
  used: { cpu: 0, memMb: 0, gpu: 0 },
  strangers: new Map(),
  slowness: createSlowness(),
  failedJobs: new Map(),
  asideUntil: Number.NEGATIVE_INFINITY,
  timesAside: 0,
});

/** Finds a worker, or adds one that has not answered yet. */
export const getWorker = (term: Term, id: string, now: Now): Worker => {
  const known = term.workers.get(id);
  if (known) return known;
  const worker = createWorker(id, now);
  term.workers.set(id, worker);
  return worker;
};
