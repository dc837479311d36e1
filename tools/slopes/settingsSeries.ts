import { decodeMessage } from '../../src/adapters/mesh/decodeMessage.js';
import { encodeMessage } from '../../src/adapters/mesh/encodeMessage.js';
import { reduce } from '../../src/core/reduce.js';
import type { Role } from '../../src/core/Role.js';
import { applyRecord } from '../../src/core/settings/applyRecord.js';
import type { SettingsProjection } from '../../src/core/settings/SettingsProjection.js';
import type { SubtreePath } from '../../src/core/settings/SubtreePath.js';
import { createDaemonState } from './createDaemonState.js';
import { createSettingsSnapshot } from './createSettingsSnapshot.js';
import type { Series } from './Series.js';
import type { Workload } from './Workload.js';
import type { SettingsTreeSize } from './SettingsTreeSize.js';
import { fixedTime } from './fixedTime.js';

const treeWorkers = [1062, 2125, 4250, 8500, 17_000];
const treeTeams = [11, 22, 45, 89, 178];

const createTreeUpdate = (role: Role, size: Partial<SettingsTreeSize>): Workload => {
  const snapshot = createSettingsSnapshot(size);
  const state = createDaemonState(role, { zones: 30, workers: 17_000, ...size });
  const from = 'vm-000/recorder' as const;
  return {
    operations: 1,
    run: () => {
      const version = state.settings.inForce!.version + 1;
      const event = { type: 'settingsTree', snapshot: { ...snapshot, version }, from } as const;
      reduce(state, { ...event, ...fixedTime });
    },
  };
};

const createProposal = (path: SubtreePath, size: Partial<SettingsTreeSize>): Workload => {
  const snapshot = createSettingsSnapshot(size);
  const { zones, teams } = snapshot.tree;
  const subtree = path === 'zones' ? zones : teams['team-001'];
  const verdicts: SettingsProjection['verdicts'] = Array.from({ length: 200 }, (_, index) => ({
    proposalId: `proposal-${index}`,
    path,
    author: 'ada',
    offset: index,
    wall: fixedTime.wall,
    refusal: null,
  }));
  const projection = { offset: 1, snapshot, verdicts };
  const data = {
    kind: 'proposal',
    proposalId: 'new',
    path,
    expectedVersion: 1,
    subtree,
    author: 'ada',
  };
  const record = { offset: 1000, wall: fixedTime.wall, data };
  // The offset of an accepted proposal becomes the version.
  if (applyRecord(projection, record).snapshot.version !== 1000)
    throw new Error('proposal refused');
  return { operations: 1, run: () => applyRecord(projection, record) };
};

const createCodec = (size: Partial<SettingsTreeSize>): { encode: Workload; decode: Workload } => {
  const message = { type: 'settingsTree', snapshot: createSettingsSnapshot(size) } as const;
  const data = encodeMessage(message);
  return {
    encode: { operations: 1, run: () => encodeMessage(message) },
    decode: { operations: 1, run: () => decodeMessage(data) },
  };
};

const makeSeries = (axis: 'workers' | 'teams', create: Series['create']): Series => ({
  axis: `${axis} in the tree`,
  operation: 'event',
  sizes: axis === 'workers' ? treeWorkers : treeTeams,
  create,
});

/** Cost series of settings; each varies one size of the tree, the others stay at the target. */
export const settingsSeries: Readonly<Record<string, Series>> = {
  'settingsTree at a scheduler': makeSeries('workers', (workers) =>
    createTreeUpdate('scheduler', { workers }),
  ),
  'settingsTree at a scheduler, by teams': makeSeries('teams', (teams) =>
    createTreeUpdate('scheduler', { teams }),
  ),
  'settingsTree at a gateway': makeSeries('workers', (workers) =>
    createTreeUpdate('gateway', { workers }),
  ),
  'acceptRecord of one team': makeSeries('workers', (workers) =>
    createProposal('teams/team-001', { workers }),
  ),
  'acceptRecord of one team, by teams': makeSeries('teams', (teams) =>
    createProposal('teams/team-001', { teams }),
  ),
  'acceptRecord of all zones': makeSeries('workers', (workers) =>
    createProposal('zones', { workers }),
  ),
  'settingsTree encoded': makeSeries('workers', (workers) => createCodec({ workers }).encode),
  'settingsTree decoded': makeSeries('workers', (workers) => createCodec({ workers }).decode),
};
