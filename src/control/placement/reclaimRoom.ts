import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { stopGang } from '../runs/stopGang.js';
import { stopTask } from '../runs/stopTask.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { chooseReclaim } from './chooseReclaim.js';
import { coresPerGpu } from './coresPerGpu.js';
import { noResources } from './noResources.js';
import type { Reclaim } from './Reclaim.js';
import type { ReclaimRequest } from './ReclaimRequest.js';
import type { Unit } from './Unit.js';

// Room often comes free by itself in this time; a guarantee allows some more.
const patienceMs = 900;
// Less work than the room can do in this time is thrown away at once.
const cheapMs = 800;

/** Whether to stop work now, or to wait a little for runs that end by themselves. */
const isWorthwhile = (unit: Unit, plan: Reclaim, now: Now): boolean => {
  const { need } = unit.tasks[0]!;
  const cores = (need.cpu / 1000 + need.gpu * coresPerGpu) * unit.tasks.length;
  const ageMs = now.wall - unit.plan.submission.acceptedAt;
  return ageMs > patienceMs || plan.loss <= cores * cheapMs;
};

/** Stops work that borrows until the unit's tasks have room, and keeps that room for them. */
export const reclaimRoom = (request: ReclaimRequest, workers: readonly Worker[]): Effect[] => {
  const { term, pass, unit, now } = request;
  const plan = chooseReclaim(request, workers);
  if (!plan) {
    const fields = { requestId: unit.plan.id, tasks: unit.tasks.length, workers: workers.length };
    return [{ type: 'log', level: 'warn', code: 'guarantee_without_room', fields }];
  }
  const { need } = unit.tasks[0]!;
  if (!isWorthwhile(unit, plan, now)) return [];
  plan.places.forEach((worker) => {
    pass.held.set(worker.id, addResources(pass.held.get(worker.id) ?? noResources, need));
  });
  return plan.victims.flatMap(({ task, step }) =>
    step.step.gang
      ? stopGang(term, step, 'preempted', now)
      : stopTask(term, task, 'preempted', now),
  );
};
