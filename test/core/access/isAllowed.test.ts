import { expect, test } from '@jest/globals';
import { buildVisibleSnapshot } from '../../../src/core/access/buildVisibleSnapshot.js';
import { isAllowed } from '../../../src/core/access/isAllowed.js';
import { resolvePrincipal } from '../../../src/core/access/resolvePrincipal.js';
import { makeRecorder } from '../../fixtures/makeRecorder.js';

const workspace = { weight: 1, guarantees: [], maxAccelerators: 8, maxQueuedRequests: 8 };
const snapshot = {
  version: 3,
  subtreeVersions: { 'teams/t1': 2, 'teams/t2': 3 },
  tree: {
    zones: { 'zone-a': { workers: {} } },
    teams: {
      t1: { tokenHashes: ['h1'], workspaces: { x: workspace } },
      t2: { tokenHashes: ['h2'], workspaces: { y: workspace } },
    },
  },
};

const makeState = () => {
  const { state, push } = makeRecorder();
  push({ type: 'settingsTree', from: 'vm-2/recorder', snapshot });
  return { state, push };
};

// Guards against a team's token that reaches another team, the registered workers or global
// targets.
test('team token reaches only its own team', () => {
  const { state } = makeState();
  const team = resolvePrincipal(state, 'h1');
  expect(isAllowed(state, team, { kind: 'workspace', workspace: 'x' })).toBe(true);
  expect(isAllowed(state, team, { kind: 'workspace', workspace: 'y' })).toBe(false);
  expect(isAllowed(state, team, { kind: 'workspace', workspace: 'unknown' })).toBe(false);
  expect(isAllowed(state, team, { kind: 'subtree', path: 'teams/t1' })).toBe(true);
  expect(isAllowed(state, team, { kind: 'subtree', path: 'zones' })).toBe(false);
  expect(isAllowed(state, team, { kind: 'global' })).toBe(false);
  expect(buildVisibleSnapshot(team!, snapshot).tree).toEqual({
    zones: {},
    teams: { t1: snapshot.tree.teams.t1 },
  });
});

// Guards against an operator who is locked out, and against access without a registered token.
test('root token reaches everything and an unknown token nothing', () => {
  const { state } = makeState();
  const path = 'teams/t1' as const;
  expect(isAllowed(state, resolvePrincipal(state, 'root-hash'), { kind: 'global' })).toBe(true);
  expect(isAllowed(state, resolvePrincipal(state, 'h3'), { kind: 'subtree', path })).toBe(false);
});

// Guards against a removed token that stays valid.
test('removed token is rejected', () => {
  const { state, push } = makeState();
  const teams = { ...snapshot.tree.teams, t1: { ...snapshot.tree.teams.t1, tokenHashes: [] } };
  const newer = { ...snapshot, version: 4, tree: { ...snapshot.tree, teams } };
  push({ type: 'settingsTree', from: 'vm-2/recorder', snapshot: newer });
  expect(resolvePrincipal(state, 'h1')).toBeNull();
});
