import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { stopGang } from '../runs/stopGang.js';
import { stopTask } from '../runs/stopTask.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import type { Pass } from './Pass.js';
import { planReclaim } from './planReclaim.js';
import type { Unit } from './Unit.js';

const nothing = { cpu: 0, memMb: 0, gpu: 0 };

/**
 * Stops work that borrows a guarantee until every waiting task of the unit has room, and keeps
 * that room for it.
 */
export const reclaimRoom = (
  term: Term,
  pass: Pass,
  unit: Unit,
  guaranteed: Set<string>,
  workers: readonly Worker[],
  now: Now,
): Effect[] =>
  unit.tasks.flatMap((task) => {
    const plan = planReclaim(term, pass, unit, guaranteed, workers, now);
    if (!plan) return [];
    const held = pass.held.get(plan.worker.id) ?? nothing;
    const stops = plan.victims.flatMap((victim) =>
      victim.step.step.gang
        ? stopGang(term, victim.step, 'preempted', now)
        : stopTask(term, victim.task, 'preempted', now),
    );
    pass.held.set(plan.worker.id, addResources(held, task.need));
    return stops;
  });
