import { groupBy } from '../groupBy.js';
import type { Adjacency } from '../settings/Adjacency.js';
import type { CandidateWorker } from './CandidateWorker.js';
import type { GuaranteeCell } from './GuaranteeCell.js';
import { computeCellLayout } from './computeCellLayout.js';
import type { ZoneShape } from './ZoneShape.js';

type Chooser = (workers: CandidateWorker[], count: number) => CandidateWorker[] | null;

const countFree = (workers: CandidateWorker[]): number =>
  workers.reduce((sum, worker) => sum + worker.freeAccelerators, 0);

const chooseTightest: Chooser = (workers, count) => {
  if (workers.length < count) return null;
  return workers
    .toSorted(
      (a, b) => a.freeAccelerators - b.freeAccelerators || (a.workerId < b.workerId ? -1 : 1),
    )
    .slice(0, count);
};

const chooseInRack: Chooser = (workers, count) => {
  const racks = [...groupBy(workers, (worker) => worker.rack).values()];
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
 * Chooses the fitting workers with the least free capacity for one shape and takes its accelerators
 * from them; null when it does not fit. Cost: O(workers log workers).
 */
export const placeShape = (
  workers: CandidateWorker[],
  shape: ZoneShape,
): GuaranteeCell[] | null => {
  const { spec, workspace } = shape;
  const { count, accelerators } = computeCellLayout(spec);
  const fitting = workers.filter((worker) => worker.freeAccelerators >= accelerators);
  const chosen = choosers[spec.adjacency](fitting, count);
  if (!chosen) return null;
  return chosen.map((worker) => {
    worker.freeAccelerators -= accelerators;
    return { workspace, shape: shape.shape, workerId: worker.workerId, accelerators };
  });
};
