import { collectBy } from '../collectBy.js';
import type { Adjacency } from '../settings/Adjacency.js';
import type { FreeWorker } from './FreeWorker.js';
import type { GuaranteeCell } from './GuaranteeCell.js';
import { measureCells } from './measureCells.js';
import type { ZoneShape } from './ZoneShape.js';

type Chooser = (workers: FreeWorker[], count: number) => FreeWorker[] | null;

const countFree = (workers: FreeWorker[]): number =>
  workers.reduce((sum, worker) => sum + worker.free, 0);

const chooseTightest: Chooser = (workers, count) => {
  if (workers.length < count) return null;
  return workers
    .toSorted((a, b) => a.free - b.free || (a.workerId < b.workerId ? -1 : 1))
    .slice(0, count);
};

const chooseInRack: Chooser = (workers, count) => {
  const racks = [...collectBy(workers, (worker) => worker.rack).values()];
  const [tightest] = racks
    .filter((rack) => rack.length >= count)
    .sort(
      (a, b) => countFree(a) - countFree(b) || ((a[0]?.rack ?? '') < (b[0]?.rack ?? '') ? -1 : 1),
    );
  return tightest ? chooseTightest(tightest, count) : null;
};

const choosers: Record<Adjacency, Chooser> = {
  worker: chooseTightest,
  rack: chooseInRack,
  zone: chooseTightest,
};

/**
 * Chooses workers for one shape and takes its accelerators from them; null when it does not fit.
 * A shape on one worker is one cell. Cost: O(workers log workers).
 */
export const placeShape = (workers: FreeWorker[], shape: ZoneShape): GuaranteeCell[] | null => {
  const { spec, workspace } = shape;
  const { count, accelerators } = measureCells(spec);
  const fitting = workers.filter((worker) => worker.free >= accelerators);
  const chosen = choosers[spec.adjacency](fitting, count);
  if (!chosen) return null;
  return chosen.map((worker) => {
    worker.free -= accelerators;
    return { workspace, shape: shape.shape, workerId: worker.workerId, accelerators };
  });
};
