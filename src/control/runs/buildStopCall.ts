import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import { computeFencingToken } from '../workers/computeFencingToken.js';
import type { Worker } from '../workers/Worker.js';
import { commandTimeoutMs } from './commandTimeoutMs.js';

/** Builds the call that stops a run on a worker; the run may belong to no plan. */
export const buildStopCall = (term: Term, worker: Worker, task: string, run: number): Effect => ({
  type: 'callWorker',
  workerId: worker.id,
  address: worker.address,
  token: computeFencingToken(term, worker),
  call: { type: 'stop', task, run },
  timeoutMs: commandTimeoutMs,
});
