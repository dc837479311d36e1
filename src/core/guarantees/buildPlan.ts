import { groupBy } from '../groupBy.js';
import type { SettingsTree } from '../settings/SettingsTree.js';
import { compareShapes } from './compareShapes.js';
import type { CandidateWorker } from './CandidateWorker.js';
import type { GuaranteeCell } from './GuaranteeCell.js';
import type { GuaranteePlan } from './GuaranteePlan.js';
import { listZoneShapes } from './listZoneShapes.js';
import { keepPlacement } from './keepPlacement.js';
import { placeShape } from './placeShape.js';
import type { ZoneShape } from './ZoneShape.js';

type CompareShapes = (a: ZoneShape, b: ZoneShape) => number;

// Greedy placement can miss a feasible plan; with a second order, fewer are missed.
const shapeOrders: CompareShapes[] = [
  compareShapes,
  (a, b) =>
    b.spec.workers * b.spec.acceleratorsPerWorker - a.spec.workers * a.spec.acceleratorsPerWorker ||
    compareShapes(a, b),
];

const formatShapeId = (workspace: string, shape: number): string =>
  JSON.stringify([workspace, shape]);

const listCandidates = (
  tree: SettingsTree,
  zone: string,
  usable: ReadonlySet<string> | null,
): CandidateWorker[] =>
  Object.entries(tree.zones[zone]?.workers ?? {})
    .filter(([workerId]) => usable === null || usable.has(workerId))
    .map(([workerId, { rack, accelerators, slots }]) => ({
      workerId,
      rack,
      // A task takes a slot for each accelerator.
      freeAccelerators: Math.min(accelerators, slots),
    }));

const planShapes = (
  shapes: ZoneShape[],
  workers: CandidateWorker[],
  previous: GuaranteeCell[],
): GuaranteePlan & { missingAccelerators: number } => {
  const workersById = new Map(workers.map((worker) => [worker.workerId, worker]));
  const previousCells = groupBy(previous, (cell) => formatShapeId(cell.workspace, cell.shape));
  const placed = new Map<ZoneShape, GuaranteeCell[]>();
  shapes.forEach((shape) => {
    const cells = previousCells.get(formatShapeId(shape.workspace, shape.shape));
    const kept = cells && keepPlacement(workersById, shape, cells);
    if (kept) placed.set(shape, kept);
  });
  shapes.forEach((shape) => {
    const cells = placed.has(shape) ? null : placeShape(workers, shape);
    if (cells) placed.set(shape, cells);
  });
  const unplaced = shapes.filter((shape) => !placed.has(shape));
  return {
    cells: shapes.flatMap((shape) => placed.get(shape) ?? []),
    unplaced: unplaced.map(({ workspace, shape }) => ({ workspace, shape })),
    missingAccelerators: unplaced.reduce(
      (sum, { spec }) => sum + spec.workers * spec.acceleratorsPerWorker,
      0,
    ),
  };
};

/**
 * Assigns the guaranteed shapes of a zone to workers. `usable` holds the ids of the workers to use;
 * null stands for all registered ones. Shapes keep their `previous` cells where these are still
 * valid, unless a plan from scratch places more accelerators.
 * Cost: O(shapes × workers log workers).
 */
export const buildPlan = (
  tree: SettingsTree,
  zone: string,
  usable: ReadonlySet<string> | null,
  previous: GuaranteeCell[] = [],
): GuaranteePlan => {
  const shapes = listZoneShapes(tree, zone);
  const attempts = [...(previous.length > 0 ? [previous] : []), []].flatMap((previousCells) =>
    shapeOrders.map((order) => ({ previousCells, order })),
  );
  let bestPlan: (GuaranteePlan & { missingAccelerators: number }) | null = null;
  for (const { previousCells, order } of attempts) {
    const plan = planShapes(
      shapes.toSorted(order),
      listCandidates(tree, zone, usable),
      previousCells,
    );
    if (!bestPlan || plan.missingAccelerators < bestPlan.missingAccelerators) bestPlan = plan;
    if (bestPlan.missingAccelerators === 0) break;
  }
  return { cells: bestPlan?.cells ?? [], unplaced: bestPlan?.unplaced ?? [] };
};
