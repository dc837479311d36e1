import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import type { EndKind } from '../workers/EndKind.js';
import type { Worker } from '../workers/Worker.js';
import { handleRunDone } from './handleRunDone.js';
import { handleRunFailure } from './handleRunFailure.js';
import { requeueTask } from './requeueTask.js';

type EndHandler = (term: Term, worker: Worker, task: Task, now: Now) => Effect[];

/** Handlers by the kind of run end. */
export const runEndHandlers: Record<EndKind, EndHandler> = {
  done: handleRunDone,
  failed: handleRunFailure,
  stopped: (term, _worker, task, now) => requeueTask(term, task, 'stopped', now),
  lapsed: (term, _worker, task, now) => requeueTask(term, task, 'lapsed', now),
  broken: (term, _worker, task, now) => requeueTask(term, task, 'broken', now),
  alone: (term, _worker, task, now) => requeueTask(term, task, 'alone', now),
};
