import type { Term } from '../lead/Term.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { State } from '../State.js';

const countGpu = (plan: JobPlan): number =>
  plan.submission.definition.steps.reduce((sum, { count, need }) => sum + count * need.gpu, 0);

/** Finds the priority-0 jobs that fit in their workspaces' guarantees, the oldest first. */
export const listGuaranteed = (state: State, term: Term): Set<string> => {
  const left = new Map(
    state.config?.workspaces.map(({ name, guaranteedGpu }) => [name, guaranteedGpu]),
  );
  const urgent = [...term.plans.values()]
    .filter((plan) => plan.priority === 0 && !isJobEnded(plan.state))
    .sort((a, b) => a.submission.acceptedAt - b.submission.acceptedAt);
  const found = new Set<string>();
  urgent.forEach((plan) => {
    const room = left.get(plan.submission.workspace) ?? 0;
    const need = countGpu(plan);
    if (need > room) return;
    left.set(plan.submission.workspace, room - need);
    found.add(plan.id);
  });
  return found;
};
