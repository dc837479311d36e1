import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { State } from '../State.js';
import type { Worker } from '../workers/Worker.js';

// Time constant with which a past peak of urgent demand decays.
const demandDecayMs = 12_000;
// Bursts of urgent jobs can exceed the recent peak.
const demandHeadroomFactor = 1.25;
// Largest share of all accelerators that is reserved; the rest is open to every job.
const maxReservedShare = 0.5;
// Smallest reserve, as a share of the guaranteed accelerators, even without urgent demand.
const guaranteedReserveShare = 0.5;

// A reserved worker is replaced only by one whose log slowdown is lower by more than this; frequent
// replacement would reserve workers that are full of other tasks.
const reserveHysteresis = 0.25;

/** Counts the accelerators of a job's unfinished steps that depend on no other step. */
const countDemandedGpu = ({ occurrences }: JobPlan): number => {
  let gpu = 0;
  occurrences.forEach(({ steps }) =>
    steps.forEach(({ tasks, definition, remaining }) => {
      if (remaining > 0 && definition.after.length === 0) gpu += tasks.length * definition.need.gpu;
    }),
  );
  return gpu;
};

/** Accelerators that urgent jobs need, and the epoch milliseconds at which the newest was accepted. */
const measureUrgentDemand = (term: Term): { gpu: number; newestAcceptedAt: number } => {
  const demand = { gpu: 0, newestAcceptedAt: 0 };
  term.plans.forEach((plan) => {
    if (plan.priority !== 0) return;
    demand.newestAcceptedAt = Math.max(demand.newestAcceptedAt, plan.submission.acceptedAt);
    if (!isJobEnded(plan.state)) demand.gpu += countDemandedGpu(plan);
  });
  return demand;
};

/** Updates the decaying peak of urgent demand and returns it in accelerators. */
const updateUrgentDemand = (term: Term, now: Now): number => {
  const { urgentDemand } = term;
  const decayedGpu =
    urgentDemand.peakGpu * Math.exp((urgentDemand.updatedAt - now.at) / demandDecayMs);
  const { gpu, newestAcceptedAt } = measureUrgentDemand(term);
  urgentDemand.peakGpu = Math.max(decayedGpu, gpu);
  urgentDemand.updatedAt = now.at;
  if (newestAcceptedAt > urgentDemand.newestAcceptedAt) {
    urgentDemand.newestAcceptedAt = newestAcceptedAt;
    urgentDemand.newestObservedAt = now.at;
  }
  return urgentDemand.peakGpu;
};

const countGuaranteedGpu = (state: State): number =>
  state.config?.workspaces.reduce((sum, { guaranteedGpu }) => sum + guaranteedGpu, 0) ?? 0;

const countGpu = (workers: readonly Worker[]): number =>
  workers.reduce((sum, { entry }) => sum + (entry?.capacity.gpu ?? 0), 0);

/**
 * Reserves the fastest workers for urgent jobs, enough for the recent peak demand or for a share of
 * the guarantees, and returns their IDs.
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
  const urgentWorkerIds = new Set<string>();
  const getReserveRank = ({ id, logSlowdown }: Worker): number =>
    logSlowdown.mean - (term.urgentWorkerIds.has(id) ? reserveHysteresis : 0);
  workers.sort((a, b) => getReserveRank(a) - getReserveRank(b));
  for (const worker of workers) {
    if (remainingGpu <= 0) break;
    remainingGpu -= worker.entry?.capacity.gpu ?? 0;
    urgentWorkerIds.add(worker.id);
  }
  term.urgentWorkerIds = urgentWorkerIds;
  return urgentWorkerIds;
};
