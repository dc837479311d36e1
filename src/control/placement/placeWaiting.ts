import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Resources } from '../Resources.js';
import type { State } from '../State.js';
import { isUsable } from '../workers/isUsable.js';
import type { Worker } from '../workers/Worker.js';
import { addResources } from './addResources.js';
import { collectUnits } from './collectUnits.js';
import { keepForUrgent } from './keepForUrgent.js';
import { listCandidates } from './listCandidates.js';
import { listGuaranteed } from './listGuaranteed.js';
import { noResources } from './noResources.js';
import type { Pass } from './Pass.js';
import { logWait } from './logWait.js';
import { placeGang } from './placeGang.js';
import { placeSingles } from './placeSingles.js';
import { reclaimRoom } from './reclaimRoom.js';
import { reserveStart } from './reserveStart.js';
import type { Unit } from './Unit.js';

// With less than this part of a resource in use there is room to spare.
const roomyPart = 0.5;
// Urgent work comes several times as often while there is any.
const quietMs = 3000;

const measureUse = (term: Term): Pick<Pass, 'usedGpu' | 'wholeGpu' | 'mostFreeGpu' | 'isRoomy'> => {
  let used: Resources = noResources;
  let whole: Resources = noResources;
  let mostFreeGpu = 0;
  term.workers.forEach((worker) => {
    if (!worker.entry) return;
    const { capacity } = worker.entry;
    used = addResources(used, worker.used);
    whole = addResources(whole, capacity);
    mostFreeGpu = Math.max(mostFreeGpu, capacity.gpu - worker.used.gpu);
  });
  const isRoomy =
    used.gpu < whole.gpu * roomyPart ||
    used.cpu < whole.cpu * roomyPart ||
    used.memMb < whole.memMb * roomyPart;
  return { usedGpu: used.gpu, wholeGpu: whole.gpu, mostFreeGpu, isRoomy };
};

const openPass = (state: State, term: Term, now: Now): Pass => {
  const workersByService = new Map<string, Worker[]>();
  term.workers.forEach((worker) => {
    if (!worker.entry || !isUsable(worker, now)) return;
    const group = workersByService.get(worker.entry.service);
    if (group) group.push(worker);
    else workersByService.set(worker.entry.service, [worker]);
  });
  return {
    workersByService,
    held: new Map(),
    kept: keepForUrgent(state, term, workersByService, now),
    isQuiet: now.at - term.urgentDemand.newestAt > quietMs,
    ...measureUse(term),
  };
};

const choose = (pass: Pass, unit: Unit, workers: readonly Worker[], now: Now): Worker[] =>
  unit.step.step.gang
    ? (placeGang(pass, unit, workers, now) ?? [])
    : placeSingles(pass, unit, workers, now);

/** Starts what waits and fits, and makes room for guarantees. */
export const placeWaiting = (state: State, term: Term, now: Now): Effect[] => {
  term.placementDue = false;
  term.lastPassAt = now.at;
  const guaranteed = listGuaranteed(state, term);
  const pass = openPass(state, term, now);
  return collectUnits(term, guaranteed, now).flatMap((unit) => {
    const tooWide = unit.step.step.need.gpu > pass.mostFreeGpu;
    if (tooWide && !unit.guaranteed && unit.step.waitLogged) return [];
    const workers = listCandidates(pass, unit, now);
    if (!tooWide || unit.guaranteed) {
      reserveStart(term, pass, unit, choose(pass, unit, workers, now), now);
    }
    if (unit.tasks.length === 0) return [];
    const logs = logWait(pass, unit, workers);
    if (!unit.guaranteed) return logs;
    return [...logs, ...reclaimRoom({ term, pass, unit, guaranteed, now }, workers)];
  });
};
