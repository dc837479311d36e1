import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { LogRecord } from '../../../src/core/log/LogRecord.js';
import { applyRecord } from '../../../src/core/settings/applyRecord.js';
import { createSettingsProjection } from '../../../src/core/settings/createSettingsProjection.js';
import type { SettingsProjection } from '../../../src/core/settings/SettingsProjection.js';
import { makeProposal, makeTeamSubtree, makeZonesSubtree } from '../../fixtures/settingsRecords.js';

const applyRecords = (
  records: LogRecord[],
  from = createSettingsProjection(),
): SettingsProjection => records.reduce(applyRecord, from);

const listRefusalReasons = (projection: SettingsProjection): (string | null)[] =>
  projection.verdicts.map(({ refusal }) => refusal?.reason ?? null);

const zones = makeProposal(0, 'p0', 'zones', -1, makeZonesSubtree('w1', 'w2'));

// Guards against two operators who change the same subtree at once and are both told that their
// change is in force.
test('second of two concurrent proposals is stale', () => {
  const projection = applyRecords([
    zones,
    makeProposal(1, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 1)),
    makeProposal(2, 'p2', 'teams/t1', -1, makeTeamSubtree('x', 2)),
    makeProposal(3, 'p3', 'teams/t2', -1, makeTeamSubtree('y', 1)),
  ]);
  expect(listRefusalReasons(projection)).toEqual([null, null, 'stale-version', null]);
  expect(projection.snapshot.subtreeVersions).toEqual({ zones: 0, 'teams/t1': 1, 'teams/t2': 3 });
});

// Guards against guarantees that are each feasible but not together.
test('guarantees must be feasible together and stay feasible', () => {
  const projection = applyRecords([
    zones,
    makeProposal(1, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 1)),
    makeProposal(2, 'p2', 'teams/t2', -1, makeTeamSubtree('y', 2)),
    makeProposal(3, 'p3', 'zones', 0, {}),
  ]);
  expect(listRefusalReasons(projection)).toEqual([
    null,
    null,
    'infeasible-guarantee',
    'infeasible-guarantee',
  ]);
});

// Guards against a proposal that was appended twice and applied again over a later change.
test('repeated proposal changes nothing', () => {
  const once = applyRecords([
    zones,
    makeProposal(1, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 3)),
  ]);
  const larger = makeProposal(2, 'p2', 'zones', 0, makeZonesSubtree('w1', 'w2', 'w3'));
  const again = makeProposal(3, 'p1', 'teams/t1', -1, makeTeamSubtree('x', 3));
  expect(listRefusalReasons(applyRecords([larger, again], once))).toEqual([
    null,
    'infeasible-guarantee',
    null,
  ]);
});

// Guards against workspaces, workers and tokens that belong to two owners, and against invalid
// values.
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
] as const)('invalid subtree is refused with its cause: %s %j', (path, subtree, detail) => {
  const first = { ...(makeTeamSubtree('x', 0) as object), tokenHashes: ['a'.repeat(64)] };
  const projection = applyRecords([
    makeProposal(0, 'p0', 'teams/t1', -1, first),
    makeProposal(1, 'p1', path, -1, subtree),
  ]);
  expect(projection.verdicts[1]?.refusal).toMatchObject({ reason: 'invalid-settings' });
  expect(projection.verdicts[1]?.refusal?.detail).toContain(detail);
});

// Guards against a VM with an older release that drops settings which a newer one supports.
test('unknown fields are kept', () => {
  const team = { ...(makeTeamSubtree('x', 0) as object), futureField: { a: 1 } };
  const { tree } = applyRecords([makeProposal(0, 'p0', 'teams/t1', -1, team)]).snapshot;
  expect(tree.teams.t1).toMatchObject({ futureField: { a: 1 } });
});

// Guards against a tree record that claims to include records after its own offset.
test('tree record that includes later offsets is ignored', () => {
  const future = { kind: 'tree', ...applyRecords([zones]), offset: 50 };
  const projection = applyRecords([zones, { offset: 3, wall: 0, data: future }]);
  expect([projection.offset, projection.snapshot.version]).toEqual([3, 0]);
});

const proposalArbitrary = fc.record({
  id: fc.integer({ min: 0, max: 12 }),
  path: fc.constantFrom('zones', 'teams/t1', 'teams/t2'),
  lag: fc.integer({ min: 0, max: 2 }),
  size: fc.integer({ min: 0, max: 3 }),
  tree: fc.boolean(),
});

// Guards against VMs that never agree on the tree because they start to read at different offsets
// or read records again.
test('every VM reaches the same tree and versions never decrease', () => {
  fc.assert(
    fc.property(
      fc.array(proposalArbitrary, { maxLength: 30 }),
      fc.integer({ min: 0, max: 30 }),
      (steps, restartIndex) => {
        const records: LogRecord[] = [];
        const projections = [createSettingsProjection()];
        steps.forEach(({ id, path, lag, size, tree }, offset) => {
          const before = projections[projections.length - 1]!;
          const old = projections[Math.max(0, projections.length - 1 - lag)]!;
          const version = old.snapshot.subtreeVersions[path as 'zones'] ?? -1;
          const subtree =
            path === 'zones'
              ? makeZonesSubtree(...['w1', 'w2', 'w3'].slice(size))
              : makeTeamSubtree(`${path.slice(6)}-${size}`, size);
          const record = tree
            ? { offset, wall: 0, data: { kind: 'tree', ...old } }
            : makeProposal(offset, `p${id}`, path, version, subtree);
          records.push(record);
          projections.push(applyRecord(before, record));
          expect(projections.at(-1)!.snapshot.version).toBeGreaterThanOrEqual(
            before.snapshot.version,
          );
        });
        const complete = projections.at(-1)!;
        const partial = projections[Math.min(restartIndex, projections.length - 1)]!;
        const copy = { offset: 1000, wall: 0, data: { kind: 'tree', ...partial } };
        const restarted =
          partial.offset < 0 ? partial : applyRecord(createSettingsProjection(), copy);
        // Pages may overlap, and an old tree record may be read again.
        const late = applyRecords([...records, ...records.slice(0, restartIndex)], restarted);
        expect(late.snapshot).toEqual(complete.snapshot);
        expect(late.verdicts).toEqual(complete.verdicts);
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});
