import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Resources } from '../Resources.js';
import type { State } from '../State.js';
import { isSchedulable } from '../workers/isSchedulable.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { collectUnits } from './collectUnits.js';
import { reserveForUrgent } from './reserveForUrgent.js';
import { listCandidates } from './listCandidates.js';
import { findGuaranteedJobIds } from './findGuaranteedJobIds.js';
import { zeroResources } from './zeroResources.js';
import type { PlacementPass } from './PlacementPass.js';
import { logWaitingStep } from './logWaitingStep.js';
import { chooseGangWorkers } from './chooseGangWorkers.js';
import { chooseTaskWorkers } from './chooseTaskWorkers.js';
import { preemptForGuarantee } from './preemptForGuarantee.js';
import { assignWorkers } from './assignWorkers.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Capacity is spare while less than this share of at least one resource is in use.
const spareCapacityShare = 0.5;
// Urgent jobs arrive several times as often for this long after one, so more of them are expected.
const urgentIdleMs = 3000;

// Pause after a pass for each waiting unit, which bounds the share of time spent on a backlog.
const passDelayPerUnitMs = 0.5;
const maxPassDelayMs = 100;

const measureUtilization = (
  term: Term,
): Pick<PlacementPass, 'usedGpu' | 'totalGpu' | 'maxFreeGpu' | 'hasSpareCapacity'> => {
  let used: Resources = zeroResources;
  let total: Resources = zeroResources;
  let maxFreeGpu = 0;
  term.workers.forEach((worker) => {
    // An entry whose worker has never answered may promise anything.
    if (!worker.entry || worker.incarnation === 0) return;
    const { capacity } = worker.entry;
    used = addResources(used, worker.allocated);
    total = addResources(total, capacity);
    maxFreeGpu = Math.max(maxFreeGpu, capacity.gpu - worker.allocated.gpu);
  });
  const hasSpareCapacity =
    used.gpu < total.gpu * spareCapacityShare ||
    used.cpu < total.cpu * spareCapacityShare ||
    used.memMb < total.memMb * spareCapacityShare;
  return { usedGpu: used.gpu, totalGpu: total.gpu, maxFreeGpu, hasSpareCapacity };
};

const buildPass = (state: State, term: Term, now: Now): PlacementPass => {
  const workersByService = new Map<string, Worker[]>();
  term.workers.forEach((worker) => {
    if (!worker.entry || !isSchedulable(worker, now)) return;
    const group = workersByService.get(worker.entry.service);
    if (group) group.push(worker);
    else workersByService.set(worker.entry.service, [worker]);
  });
  return {
    workersByService,
    reservedResources: new Map(),
    victimsByWorkerId: new Map(),
    gangLossCoreMs: new Map(),
    urgentWorkerIds: reserveForUrgent(state, term, workersByService, now),
    isUrgentIdle: now.at - term.urgentDemand.newestObservedAt > urgentIdleMs,
    ...measureUtilization(term),
  };
};

const chooseUnitWorkers = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
  now: Now,
): Worker[] =>
  unit.step.definition.gang
    ? (chooseGangWorkers(pass, unit, workers, now) ?? [])
    : chooseTaskWorkers(pass, unit, workers, now);

/** Assigns workers to the waiting tasks that fit, and preempts runs for guaranteed ones that don't. */
export const runPlacementPass = (state: State, term: Term, now: Now): Effect[] => {
  term.placementDue = false;
  term.lastPlacementAt = now.at;
  const guaranteedJobIds = findGuaranteedJobIds(state, term);
  const pass = buildPass(state, term, now);
  const units = collectUnits(term, guaranteedJobIds, now);
  term.nextPlacementAt = now.at + Math.min(maxPassDelayMs, units.length * passDelayPerUnitMs);
  return units.flatMap((unit) => {
    const isTooWide = unit.step.definition.need.gpu > pass.maxFreeGpu;
    if (isTooWide && !unit.guaranteed && unit.step.waitLogged) return [];
    const workers = listCandidates(pass, unit, now);
    const isPlaceable = !isTooWide || unit.guaranteed;
    const chosen = isPlaceable ? chooseUnitWorkers(pass, unit, workers, now) : [];
    assignWorkers(term, pass, unit, chosen, now);
    if (unit.tasks.length === 0) return [];
    const effects = logWaitingStep(pass, unit, workers);
    if (!unit.guaranteed) return effects;
    const request = { term, pass, unit, guaranteedJobIds, now };
    return [...effects, ...preemptForGuarantee(request, workers)];
  });
};
