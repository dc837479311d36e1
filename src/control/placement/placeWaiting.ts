import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isUsable } from '../workers/isUsable.js';
import type { Worker } from '../workers/Worker.js';
import { collectUnits } from './collectUnits.js';
import { keepForUrgent } from './keepForUrgent.js';
import { listCandidates } from './listCandidates.js';
import { listGuaranteed } from './listGuaranteed.js';
import type { Pass } from './Pass.js';
import { logWait } from './logWait.js';
import { placeGang } from './placeGang.js';
import { placeSingles } from './placeSingles.js';
import { reclaimRoom } from './reclaimRoom.js';
import { reserveStart } from './reserveStart.js';
import type { Unit } from './Unit.js';

const countGpu = (term: Term): Pick<Pass, 'usedGpu' | 'wholeGpu' | 'mostFreeGpu'> => {
  let usedGpu = 0;
  let mostFreeGpu = 0;
  let wholeGpu = 0;
  term.workers.forEach(({ entry, used }) => {
    if (!entry) return;
    usedGpu += used.gpu;
    wholeGpu += entry.capacity.gpu;
    mostFreeGpu = Math.max(mostFreeGpu, entry.capacity.gpu - used.gpu);
  });
  return { usedGpu, wholeGpu, mostFreeGpu };
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
    ...countGpu(term),
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
    const workers = listCandidates(pass, unit);
    if (!tooWide || unit.guaranteed) {
      reserveStart(term, pass, unit, choose(pass, unit, workers, now), now);
    }
    if (unit.tasks.length === 0) return [];
    const logs = logWait(pass, unit, workers);
    if (!unit.guaranteed) return logs;
    return [...logs, ...reclaimRoom({ term, pass, unit, guaranteed, now }, workers)];
  });
};
