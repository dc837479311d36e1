import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { LogRecord } from '../../../src/core/log/LogRecord.js';
import { applyRecord } from '../../../src/core/settings/applyRecord.js';
import { createSettingsProjection } from '../../../src/core/settings/createSettingsProjection.js';
import type { SettingsProjection } from '../../../src/core/settings/SettingsProjection.js';
import { makeProposal, makeTeamSubtree, makeZonesSubtree } from '../../fixtures/settingsRecords.js';

const foldAll = (records: LogRecord[], from = createSettingsProjection()): SettingsProjection =>
  records.reduce(applyRecord, from);

const reasonsOf = (fold: SettingsProjection): (string | null)[] =>
  fold.verdicts.map(({ refusal }) => refusal?.reason ?? null);

const zones = makeProposal(0, 'p0', 'zones', -1, makeZonesSubtree('w1', 'w2'));

// Guards against two operators who both believe that their change is in force.
test('second of two racing proposals is stale', () => {
  const fold = foldAll([
    zones,
    makeProposal(1, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 1)),
    makeProposal(2, 'p2', 'teams/t1', -1, makeTeamSubtree('x', 2)),
    makeProposal(3, 'p3', 'teams/t2', -1, makeTeamSubtree('y', 1)),
  ]);
  expect(reasonsOf(fold)).toEqual([null, null, 'stale-version', null]);
  expect(fold.snapshot.subtreeVersions).toEqual({ zones: 0, 'teams/t1': 1, 'teams/t2': 3 });
});

// Guards against guarantees that are each feasible but not together.
test('guarantees must fit together and stay placed', () => {
  const fold = foldAll([
    zones,
    makeProposal(1, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 1)),
    makeProposal(2, 'p2', 'teams/t2', -1, makeTeamSubtree('y', 2)),
    makeProposal(3, 'p3', 'zones', 0, {}),
  ]);
  expect(reasonsOf(fold)).toEqual([null, null, 'infeasible-guarantee', 'infeasible-guarantee']);
});

// Guards against an append that was repeated and then applied over a later change.
test('repeated proposal changes nothing', () => {
  const once = foldAll([zones, makeProposal(1, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 3))]);
  const larger = makeProposal(2, 'p2', 'zones', 0, makeZonesSubtree('w1', 'w2', 'w3'));
  const again = makeProposal(3, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 3));
  expect(reasonsOf(foldAll([larger, again], once))).toEqual([null, 'infeasible-guarantee', null]);
});

// Guards against workspaces, workers and tokens that belong to two owners.
test.each([
  ['teams/t2', makeTeamSubtree('x', 0), 'teams/t2/workspaces/x: got "x"'],
  [
    'teams/t2',
    { tokenHashes: ['a'.repeat(64)], workspaces: {} },
    'teams/t2/tokenHashes/0: got "aaa',
  ],
  ['teams/t2', { workspaces: { y: {} } }, 'teams/t2/workspaces/y/maxAccelerators: got nothing'],
  ['teams/t2', { workspaces: { constructor: {} } }, 'teams/t2/workspaces/constructor: got {}'],
  [
    'zones',
    {
      a: (makeZonesSubtree('w1') as { 'zone-a': unknown })['zone-a'],
      ...(makeZonesSubtree('w1') as object),
    },
    'zones/zone-a/workers/w1: got "w1"',
  ],
] as const)('invalid subtree is explained: %s %j', (path, subtree, detail) => {
  const first = { ...(makeTeamSubtree('x', 0) as object), tokenHashes: ['a'.repeat(64)] };
  const fold = foldAll([
    makeProposal(0, 'p0', 'teams/t1', -1, first),
    makeProposal(1, 'p1', path, -1, subtree),
  ]);
  expect(fold.verdicts[1]?.refusal).toMatchObject({ reason: 'invalid-settings' });
  expect(fold.verdicts[1]?.refusal?.detail).toContain(detail);
});

// Guards against an older VM that drops what a newer one has configured.
test('unknown fields survive', () => {
  const team = { ...(makeTeamSubtree('x', 0) as object), futureField: { a: 1 } };
  const { tree } = foldAll([makeProposal(0, 'p0', 'teams/t1', -1, team)]).snapshot;
  expect(tree.teams.t1).toMatchObject({ futureField: { a: 1 } });
});

// Guards against a tree record that claims records after its own place.
test('tree record from the future is ignored', () => {
  const future = { kind: 'tree', ...foldAll([zones]), offset: 50 };
  const fold = foldAll([zones, { offset: 3, wall: 0, data: future }]);
  expect([fold.offset, fold.snapshot.version]).toEqual([3, 0]);
});

const proposalArbitrary = fc.record({
  id: fc.integer({ min: 0, max: 12 }),
  path: fc.constantFrom('zones', 'teams/t1', 'teams/t2'),
  lag: fc.integer({ min: 0, max: 2 }),
  size: fc.integer({ min: 0, max: 3 }),
  tree: fc.boolean(),
});

// Guards against VMs that start at different places of the stream and disagree for ever.
test('every VM reaches the same tree and versions never decrease', () => {
  fc.assert(
    fc.property(
      fc.array(proposalArbitrary, { maxLength: 30 }),
      fc.integer({ min: 0, max: 30 }),
      (steps, cut) => {
        const records: LogRecord[] = [];
        const folds = [createSettingsProjection()];
        steps.forEach(({ id, path, lag, size, tree }, offset) => {
          const before = folds[folds.length - 1]!;
          const old = folds[Math.max(0, folds.length - 1 - lag)]!;
          const version = old.snapshot.subtreeVersions[path as 'zones'] ?? -1;
          const subtree =
            path === 'zones'
              ? makeZonesSubtree(...['w1', 'w2', 'w3'].slice(size))
              : makeTeamSubtree(`${path.slice(6)}-${size}`, size);
          const record = tree
            ? { offset, wall: 0, data: { kind: 'tree', ...old } }
            : makeProposal(offset, `p${id}`, path, version, subtree);
          records.push(record);
          folds.push(applyRecord(before, record));
          expect(folds.at(-1)!.snapshot.version).toBeGreaterThanOrEqual(before.snapshot.version);
        });
        const whole = folds.at(-1)!;
        const middle = folds[Math.min(cut, folds.length - 1)]!;
        const copy = { offset: 1000, wall: 0, data: { kind: 'tree', ...middle } };
        const restarted =
          middle.offset < 0 ? middle : applyRecord(createSettingsProjection(), copy);
        // Pages may overlap, and an old tree may arrive again.
        const late = foldAll([...records, ...records.slice(0, cut)], restarted);
        expect(late.snapshot).toEqual(whole.snapshot);
        expect(late.verdicts).toEqual(whole.verdicts);
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});
