import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { State } from '../State.js';
import type { Worker } from '../workers/Worker.js';

// A peak of urgent work is expected again for about this long.
const demandDecayMs = 12_000;
// Urgent work comes in bursts above its recent peak.
const demandHeadroomFactor = 1.25;
// Part of all accelerators that is kept at most; the rest serves everyone.
const maxReservedShare = 0.5;
// Part of what is guaranteed that is kept before any urgent work was seen.
const guaranteedReserveShare = 0.5;

// A worker that is kept stays so, unless another is faster by more than this logarithm of a factor:
// a change of mind would keep workers that are full of other work.
const reserveHysteresis = 0.25;

const countDemandedGpu = ({ occurrences }: JobPlan): number => {
  let gpu = 0;
  occurrences.forEach(({ steps }) =>
    steps.forEach(({ tasks, step, remaining }) => {
      if (remaining > 0 && step.after.length === 0) gpu += tasks.length * step.need.gpu;
    }),
  );
  return gpu;
};

/** Accelerators that urgent work needs, and the epoch milliseconds at which the newest was accepted. */
const measureUrgentDemand = (term: Term): { gpu: number; newest: number } => {
  const demand = { gpu: 0, newest: 0 };
  term.plans.forEach((plan) => {
    if (plan.priority !== 0) return;
    demand.newest = Math.max(demand.newest, plan.submission.acceptedAt);
    if (!isJobEnded(plan.state)) demand.gpu += countDemandedGpu(plan);
  });
  return demand;
};

const updateUrgentDemand = (term: Term, now: Now): number => {
  const { urgentDemand } = term;
  const decayedGpu =
    urgentDemand.peakGpu * Math.exp((urgentDemand.updatedAt - now.at) / demandDecayMs);
  const { gpu, newest } = measureUrgentDemand(term);
  urgentDemand.peakGpu = Math.max(decayedGpu, gpu);
  urgentDemand.updatedAt = now.at;
  if (newest > urgentDemand.newestAcceptedAt) {
    urgentDemand.newestAcceptedAt = newest;
    urgentDemand.newestObservedAt = now.at;
  }
  return urgentDemand.peakGpu;
};

const countGuaranteedGpu = (state: State): number =>
  state.config?.workspaces.reduce((sum, { guaranteedGpu }) => sum + guaranteedGpu, 0) ?? 0;

const countGpu = (workers: readonly Worker[]): number =>
  workers.reduce((sum, { entry }) => sum + (entry?.capacity.gpu ?? 0), 0);

/**
 * Chooses the fastest workers to be kept for urgent work, as many as its recent peak or the
 * guarantees need.
 */
export const reserveForUrgent = (
  state: State,
  term: Term,
  workersByService: Map<string, Worker[]>,
  now: Now,
): Set<string> => {
  const workers = [...workersByService.values()].flat();
  const wantedGpu = Math.max(
    updateUrgentDemand(term, now) * demandHeadroomFactor,
    countGuaranteedGpu(state) * guaranteedReserveShare,
  );
  let remainingGpu = Math.min(wantedGpu, countGpu(workers) * maxReservedShare);
  const reservedIds = new Set<string>();
  const getReserveRank = ({ id, logSlowdown: slowness }: Worker): number =>
    slowness.mean - (term.reservedWorkers.has(id) ? reserveHysteresis : 0);
  workers.sort((a, b) => getReserveRank(a) - getReserveRank(b));
  for (const worker of workers) {
    if (remainingGpu <= 0) break;
    remainingGpu -= worker.entry?.capacity.gpu ?? 0;
    reservedIds.add(worker.id);
  }
  term.reservedWorkers = reservedIds;
  return reservedIds;
};
