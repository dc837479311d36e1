import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Worker } from '../workers/Worker.js';
import { orderTimeoutMs } from './orderTimeoutMs.js';

/** Builds the order to stop a run, whether a plan knows it or not. */
export const buildStopOrder = (term: Term, worker: Worker, task: string, run: number): Effect => ({
  type: 'callWorker',
  workerId: worker.id,
  address: worker.address,
  token: term.token,
  call: { type: 'stop', task, run },
  timeoutMs: orderTimeoutMs,
});
