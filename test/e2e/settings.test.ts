import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { callApi } from '../../tools/cluster/callApi.js';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import type { ClusterVm } from '../../tools/cluster/ClusterVm.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { killCluster } from './helpers/killCluster.js';
import { readStream } from './helpers/readStream.js';
import { startTestCluster } from './helpers/startTestCluster.js';

// Longest time until accepted settings apply on every VM (property P8).
const propagationLimitMs = 7000;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTestCluster({
    zones: ['zone-a', 'zone-b'],
    vmsPerZone: 2,
    workersPerZone: 2,
  });
}, 40_000);

afterAll(() => killCluster(cluster));

const createTeam = (name: string, weight: number) => ({
  tokenHashes: [],
  workspaces: {
    // Workspace names are unique over all teams.
    [`${name}-main`]: { weight, maxAccelerators: 8, maxQueuedRequests: 10, guarantees: [] },
  },
});

const propose = ({ httpPort }: ClusterVm, team: string, weight: number, expected: number) =>
  callApi(httpPort, 'PUT', `/v1/settings/teams/${team}`, {
    token: cluster.rootToken,
    body: createTeam(team, weight),
    headers: { 'if-match': `"${expected}"`, 'siskin-author': 'operator' },
  });

interface Snapshot {
  tree: { teams: Record<string, { workspaces: Record<string, { weight: number }> }> };
  version: number;
}

const readWeight = async ({ httpPort }: ClusterVm, team: string): Promise<number | undefined> => {
  const { data } = await callApi(httpPort, 'GET', '/v1/settings', { token: cluster.rootToken });
  return (data as Snapshot).tree.teams[team]?.workspaces[`${team}-main`]?.weight;
};

const waitForWeight = (team: string, weight: number): Promise<true[]> =>
  Promise.all(
    cluster.vms.map((vm) =>
      waitUntil(`the settings of team ${team} apply on ${vm.id}`, propagationLimitMs, async () =>
        (await readWeight(vm, team)) === weight ? (true as const) : undefined,
      ),
    ),
  );

// Guards against two accepted concurrent changes of one subtree, of which one reverts the other.
test('concurrent changes of one subtree: one is accepted', async () => {
  const [first, second] = [cluster.vms[0]!, cluster.vms.at(-1)!];
  const answers = await Promise.all([
    propose(first, 'shared', 2, -1),
    propose(second, 'shared', 3, -1),
  ]);
  expect(answers.map(({ status }) => status).sort()).toEqual([200, 409]);
  expect(answers.find(({ status }) => status === 409)?.data).toMatchObject({
    code: 'stale-version',
    outcome: 'not-run',
  });
  await waitForWeight('shared', answers[0].status === 200 ? 2 : 3);
}, 20_000);

// Guards against a change that is refused because of a concurrent change of another subtree.
test('concurrent changes of two subtrees are both accepted', async () => {
  const answers = await Promise.all([
    propose(cluster.vms[0]!, 'north', 4, -1),
    propose(cluster.vms.at(-1)!, 'south', 5, -1),
  ]);
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
  await Promise.all([waitForWeight('north', 4), waitForWeight('south', 5)]);
}, 20_000);

// Guards against a proposal that takes effect twice, or that is refused although it took effect,
// when the response to its append is lost.
test('append whose response is lost is accepted once', async () => {
  // The responses to the next appends to any stream are lost; the proposal is among them.
  await callApi(cluster.logPort, 'PUT', '/faults', { body: { loseAppendAnswers: 1 } });
  const { status, data } = await propose(cluster.vms[0]!, 'lost', 6, -1);
  expect({ status, data }).toMatchObject({ status: 200 });
  await waitForWeight('lost', 6);
  const repeated = await propose(cluster.vms.at(-1)!, 'lost', 7, -1);
  expect(repeated).toMatchObject({ status: 409, data: { code: 'stale-version' } });
  const appended = (await readStream<{ path?: string; proposalId?: string }>(cluster, 'settings'))
    .filter(({ path }) => path === 'teams/lost')
    .map(({ proposalId }) => proposalId);
  // The accepted proposal, which may be recorded twice with one id, and the stale one.
  expect([...new Set(appended)].length).toBeLessThanOrEqual(2);
  expect(appended.length).toBeGreaterThan(0);
  expect(await readWeight(cluster.vms[1]!, 'lost')).toBe(6);
}, 20_000);
