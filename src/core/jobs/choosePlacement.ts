import type { State } from '../State.js';
import type { CapacityTier } from './CapacityTier.js';
import { computeCapacity } from './computeCapacity.js';
import { mayUseReservedWorkers } from './mayUseReservedWorkers.js';
import type { Job } from './Job.js';
import { listCapacities } from './listCapacities.js';
import { listTiers } from './listTiers.js';
import { computeUnplacedDemand } from './computeUnplacedDemand.js';
import type { PartPlacement } from './PartPlacement.js';
import { placeGang } from './placeGang.js';
import type { WorkerCapacity } from './WorkerCapacity.js';
import type { WorkerView } from './WorkerView.js';

type Views = ReadonlyMap<string, WorkerView>;

const hasHeadroom = (state: State, views: Views, job: Job): boolean => {
  const unplacedDemand = computeUnplacedDemand(state, job.workspace);
  if (unplacedDemand === 0) return true;
  const free = listCapacities(views, job.workspace, 'lent');
  const total = free.reduce((sum, worker) => sum + worker.capacity, 0);
  return total - job.spec.tasks * job.spec.acceleratorsPerTask >= unplacedDemand;
};

const listAllowed = (
  state: State,
  views: Views,
  job: Job,
  tier: CapacityTier,
  at: number,
): WorkerCapacity[] => {
  const capacities = listCapacities(views, job.workspace, tier);
  if (tier === 'own') return capacities;
  if (!hasHeadroom(state, views, job)) return [];
  const { reservation } = state.jobs;
  if (!reservation || mayUseReservedWorkers(state, job, at)) return capacities;
  return capacities.filter(({ workerId }) => !reservation.workers.has(workerId));
};

const placeAvoidingFailed = (workers: WorkerCapacity[], job: Job): string[] | null => {
  const failed = new Set(job.failedSets.flatMap((set) => set.split(',')));
  const untried = workers.filter(({ workerId }) => !failed.has(workerId));
  return placeGang(untried, job.spec) ?? (failed.size > 0 ? placeGang(workers, job.spec) : null);
};

const markBorrowed = (views: Views, job: Job, workerIds: string[]): PartPlacement[] => {
  const usedByGang = new Map<string, number>();
  return workerIds.map((workerId) => {
    const view = views.get(workerId);
    const used = (usedByGang.get(workerId) ?? 0) + job.spec.acceleratorsPerTask;
    usedByGang.set(workerId, used);
    const capacityWithoutLent = view ? computeCapacity(view, job.workspace, 'unassigned') : 0;
    return { workerId, borrowed: used > capacityWithoutLent };
  });
};

/**
 * Chooses workers for a queued job: own cells first, then unassigned capacity, then lent cells.
 * Outside its own cells, a job must respect the reservation and leave enough capacity for the
 * unplaced guarantees of others. Null when it does not fit. Cost: O(workers log workers).
 */
export const choosePlacement = (
  state: State,
  views: Views,
  job: Job,
  at: number,
): PartPlacement[] | null => {
  for (const tier of listTiers(job)) {
    const placement = placeAvoidingFailed(listAllowed(state, views, job, tier, at), job);
    if (placement) return markBorrowed(views, job, placement);
  }
  return null;
};
