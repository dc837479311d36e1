import type { Term } from '../lead/Term.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { State } from '../State.js';

/** Finds the priority-0 jobs that at any time fit into their workspaces' guarantees; older jobs come first. */
export const findGuaranteedJobIds = (state: State, term: Term): Set<string> => {
  const remainingGpu = new Map(
    state.config?.workspaces.map(({ name, guaranteedGpu }) => [name, guaranteedGpu]),
  );
  const urgent = [...term.plans.values()]
    .filter((plan) => plan.priority === 0 && !isJobEnded(plan.state))
    .sort((a, b) => a.submission.acceptedAt - b.submission.acceptedAt);
  const guaranteedJobIds = new Set<string>();
  urgent.forEach((plan) => {
    const remaining = remainingGpu.get(plan.submission.workspace) ?? 0;
    if (plan.peakGpu > remaining) return;
    remainingGpu.set(plan.submission.workspace, remaining - plan.peakGpu);
    guaranteedJobIds.add(plan.id);
  });
  return guaranteedJobIds;
};
