import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { State } from '../State.js';
import type { Worker } from '../workers/Worker.js';

// A peak of urgent work is expected again for about this long.
const memoryMs = 12_000;
// Urgent work comes in bursts above its recent peak.
const headroom = 1.25;
// Part of all accelerators that is kept at most; the rest serves everyone.
const mostKept = 0.5;
// Part of what is guaranteed that is kept before any urgent work was seen.
const guaranteedPart = 0.5;

// A worker that is kept stays so, unless another is faster by more than this logarithm of a factor:
// a change of mind would keep workers that are full of other work.
const keptLead = 0.25;

const countGpuWanted = ({ occurrences }: JobPlan): number => {
  let gpu = 0;
  occurrences.forEach(({ steps }) =>
    steps.forEach(({ tasks, step, remaining }) => {
      if (remaining > 0 && step.after.length === 0) gpu += tasks.length * step.need.gpu;
    }),
  );
  return gpu;
};

/** Accelerators that urgent work needs, and the epoch milliseconds at which the newest was accepted. */
const measureDemand = (term: Term): { gpu: number; newest: number } => {
  const demand = { gpu: 0, newest: 0 };
  term.plans.forEach((plan) => {
    if (plan.priority !== 0) return;
    demand.newest = Math.max(demand.newest, plan.submission.acceptedAt);
    if (!isJobEnded(plan.state)) demand.gpu += countGpuWanted(plan);
  });
  return demand;
};

const noteDemand = (term: Term, now: Now): number => {
  const { urgentDemand } = term;
  const faded = urgentDemand.gpu * Math.exp((urgentDemand.at - now.at) / memoryMs);
  const { gpu, newest } = measureDemand(term);
  urgentDemand.gpu = Math.max(faded, gpu);
  urgentDemand.at = now.at;
  if (newest > urgentDemand.newest) {
    urgentDemand.newest = newest;
    urgentDemand.newestAt = now.at;
  }
  return urgentDemand.gpu;
};

const countGuaranteed = (state: State): number =>
  state.config?.workspaces.reduce((sum, { guaranteedGpu }) => sum + guaranteedGpu, 0) ?? 0;

const countGpu = (workers: readonly Worker[]): number =>
  workers.reduce((sum, { entry }) => sum + (entry?.capacity.gpu ?? 0), 0);

/**
 * Chooses the fastest workers to be kept for urgent work, as many as its recent peak or the
 * guarantees need.
 */
export const keepForUrgent = (
  state: State,
  term: Term,
  workersByService: Map<string, Worker[]>,
  now: Now,
): Set<string> => {
  const workers = [...workersByService.values()].flat();
  const wanted = Math.max(
    noteDemand(term, now) * headroom,
    countGuaranteed(state) * guaranteedPart,
  );
  let left = Math.min(wanted, countGpu(workers) * mostKept);
  const kept = new Set<string>();
  const getRank = ({ id, slowness }: Worker): number =>
    slowness.mean - (term.keptWorkers.has(id) ? keptLead : 0);
  workers.sort((a, b) => getRank(a) - getRank(b));
  for (const worker of workers) {
    if (left <= 0) break;
    left -= worker.entry?.capacity.gpu ?? 0;
    kept.add(worker.id);
  }
  term.keptWorkers = kept;
  return kept;
};
