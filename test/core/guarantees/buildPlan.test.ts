import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { buildPlan } from '../../../src/core/guarantees/buildPlan.js';
import type { GuaranteeCell } from '../../../src/core/guarantees/GuaranteeCell.js';
import type { GuaranteeShape } from '../../../src/core/settings/GuaranteeShape.js';
import type { SettingsTree } from '../../../src/core/settings/SettingsTree.js';

const buildTree = (sizes: number[], shapes: Omit<GuaranteeShape, 'zone'>[]): SettingsTree => ({
  zones: {
    z: {
      workers: Object.fromEntries(
        sizes.map((accelerators, index) => [
          `w${index}`,
          {
            url: '',
            rack: `r${Math.floor(index / 3)}`,
            accelerators,
            slots: accelerators,
            connections: 1,
            drained: false,
          },
        ]),
      ),
    },
  },
  teams: {
    t: {
      tokenHashes: [],
      workspaces: {
        a: {
          weight: 1,
          maxAccelerators: 99,
          maxQueuedRequests: 1,
          guarantees: shapes.map((shape) => ({ ...shape, zone: 'z' })),
        },
      },
    },
  },
});

const findPlanViolation = (
  tree: SettingsTree,
  usable: ReadonlySet<string> | null,
  plan: ReturnType<typeof buildPlan>,
): string | null => {
  const workers = tree.zones.z?.workers ?? {};
  const usedByWorker = new Map<string, number>();
  const byShape = new Map<number, GuaranteeCell[]>();
  plan.cells.forEach((cell) => {
    usedByWorker.set(cell.workerId, (usedByWorker.get(cell.workerId) ?? 0) + cell.accelerators);
    byShape.set(cell.shape, [...(byShape.get(cell.shape) ?? []), cell]);
  });
  const overAllocated = [...usedByWorker].find(
    ([id, sum]) => sum > (workers[id]?.accelerators ?? 0),
  );
  if (overAllocated) return `worker ${overAllocated[0]} is over-allocated`;
  if (usable && plan.cells.some((cell) => !usable.has(cell.workerId))) return 'unusable worker';
  const shapes = tree.teams.t?.workspaces.a?.guarantees ?? [];
  const invalidShape = shapes.findIndex((spec, shape) => {
    const cells = byShape.get(shape) ?? [];
    const isUnplaced = plan.unplaced.some((id) => id.shape === shape);
    if (isUnplaced) return cells.length > 0;
    const sum = cells.reduce((total, cell) => total + cell.accelerators, 0);
    const racks = new Set(cells.map((cell) => workers[cell.workerId]?.rack));
    const hosts = new Set(cells.map((cell) => cell.workerId));
    return (
      sum !== spec.workers * spec.acceleratorsPerWorker ||
      (spec.adjacency === 'rack' && racks.size > 1) ||
      hosts.size !== (spec.adjacency === 'worker' ? 1 : spec.workers)
    );
  });
  return invalidShape === -1 ? null : `shape ${invalidShape} is incomplete or not adjacent`;
};

const shapeArbitrary = fc.record({
  workers: fc.integer({ min: 1, max: 4 }),
  acceleratorsPerWorker: fc.integer({ min: 1, max: 8 }),
  adjacency: fc.constantFrom('worker' as const, 'rack' as const, 'zone' as const),
});

// Guards against over-allocated workers and against incomplete or non-adjacent shapes, before and
// after the loss of a worker.
test('plan is valid before and after the loss of a worker', () => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(2, 4, 8, 16), { minLength: 1, maxLength: 9 }),
      fc.array(shapeArbitrary, { maxLength: 8 }),
      fc.nat(),
      (sizes, shapes, lostIndex) => {
        const tree = buildTree(sizes, shapes);
        const before = buildPlan(tree, 'z', null);
        const usable = new Set(sizes.map((_, index) => `w${index}`));
        usable.delete(`w${lostIndex % sizes.length}`);
        const after = buildPlan(tree, 'z', usable, before.cells);
        expect(findPlanViolation(tree, null, before)).toBeNull();
        expect(findPlanViolation(tree, usable, after)).toBeNull();
      },
    ),
    { seed: 20, numRuns: 500 },
  );
});

// Guards against small shapes that take the only workers on which large ones fit.
test('large shapes are placed first', () => {
  const small = { workers: 1, acceleratorsPerWorker: 4, adjacency: 'worker' } as const;
  const large = { workers: 3, acceleratorsPerWorker: 8, adjacency: 'rack' } as const;
  const plan = buildPlan(buildTree([8, 8, 8, 4, 4], [small, small, large]), 'z', null);
  expect(plan.unplaced).toEqual([]);
});

// Guards against moving shapes that were not on the lost worker.
test('loss of a worker moves only its cells', () => {
  const shape = { workers: 1, acceleratorsPerWorker: 6, adjacency: 'worker' } as const;
  const tree = buildTree([8, 8, 8, 8], [shape, shape, shape]);
  const before = buildPlan(tree, 'z', null);
  const after = buildPlan(tree, 'z', new Set(['w1', 'w2', 'w3']), before.cells);
  const moved = before.cells.filter((cell) => cell.workerId !== 'w0');
  expect(after.unplaced).toEqual([]);
  expect(after.cells).toEqual(expect.arrayContaining(moved));
});

// Guards against keeping old placements when only a new plan places every shape.
test('feasibility takes precedence over stability', () => {
  const two = { workers: 1, acceleratorsPerWorker: 2, adjacency: 'worker' } as const;
  const eight = { workers: 1, acceleratorsPerWorker: 8, adjacency: 'worker' } as const;
  const previous = [{ workspace: 'a', shape: 0, workerId: 'w0', accelerators: 2 }];
  const plan = buildPlan(buildTree([8, 4], [two, eight]), 'z', null, previous);
  expect(plan.unplaced).toEqual([]);
});
