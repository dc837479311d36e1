import type { CandidateWorker } from './CandidateWorker.js';
import type { GuaranteeCell } from './GuaranteeCell.js';
import { computeCellLayout } from './computeCellLayout.js';
import type { ZoneShape } from './ZoneShape.js';

/**
 * Assigns a shape to its previous cells and takes their accelerators from the workers; null if the
 * cells are no longer valid.
 * Cost: O(cells of the shape).
 */
export const keepPlacement = (
  workers: ReadonlyMap<string, CandidateWorker>,
  { spec }: ZoneShape,
  previous: GuaranteeCell[],
): GuaranteeCell[] | null => {
  const { count, accelerators } = computeCellLayout(spec);
  if (previous.length !== count) return null;
  const chosen = previous.map((cell) => workers.get(cell.workerId));
  const isValid = chosen.every(
    (worker, index) =>
      worker !== undefined &&
      worker.freeAccelerators >= accelerators &&
      previous[index]?.accelerators === accelerators &&
      (spec.adjacency === 'zone' || worker.rack === chosen[0]?.rack),
  );
  if (!isValid) return null;
  chosen.forEach((worker) => {
    if (worker) worker.freeAccelerators -= accelerators;
  });
  return previous;
};
