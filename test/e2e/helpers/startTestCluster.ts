import { buildZones } from '../../../tools/cluster/buildZones.js';
import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { ClusterVm } from '../../../tools/cluster/ClusterVm.js';
import type { ClusterSpec } from '../../../tools/cluster/ClusterSpec.js';
import { proposeSubtree } from '../../../tools/cluster/proposeSubtree.js';
import { startCluster } from '../../../tools/cluster/startCluster.js';
import { waitUntil } from '../../../tools/cluster/waitUntil.js';
import { killCluster } from './killCluster.js';
import { waitForReadyCluster } from './waitForReadyCluster.js';

const createWorkspace = () => ({
  weight: 1,
  maxAccelerators: 64,
  maxQueuedRequests: 1000,
  guarantees: [],
});

const team = {
  tokenHashes: [],
  workspaces: { labels: createWorkspace(), transects: createWorkspace() },
};

const propose = (
  cluster: Cluster,
  path: string,
  content: unknown,
  expectedVersion = -1,
): Promise<number> =>
  waitUntil(`${path} is accepted`, 10_000, async () => {
    const { status, data } = await proposeSubtree(cluster, path, content, expectedVersion);
    if (status !== 200) throw new Error(`${status} ${JSON.stringify(data)}`);
    return (data as { version: number }).version;
  });

// Reads the version from the scheduler of the same VM: while no zone has a lead, a gateway forwards
// status requests to it.
const readSettingsVersion = async (cluster: Cluster, vm: ClusterVm): Promise<number> => {
  const { status, data } = await callApi(vm.httpPort, 'GET', '/v1/status', {
    token: cluster.rootToken,
  });
  if (status !== 200) return -1;
  const { zones } = data as { zones: Record<string, { vmId: string; settingsVersion: number }> };
  const own = Object.values(zones).find(({ vmId }) => vmId === vm.id);
  return own?.settingsVersion ?? -1;
};

// Proposes zones without workers first: a scheduler whose first settings list workers assumes that
// another lead may have held them, and refuses keyed requests for 300 s (`key-memory-lost`).
const registerWorkers = async (cluster: Cluster): Promise<void> => {
  const empty = Object.fromEntries(cluster.spec.zones.map((zone) => [zone, { workers: {} }]));
  const version = await propose(cluster, 'zones', empty);
  await Promise.all(
    cluster.vms.map((vm) =>
      waitUntil(`the scheduler of ${vm.id} has the empty zones`, 10_000, async () =>
        (await readSettingsVersion(cluster, vm)) >= version ? true : undefined,
      ),
    ),
  );
  await propose(cluster, 'zones', buildZones(cluster), version);
};

// A worker that starts after its registration may have had a holder before a restart, so the first
// lead would refuse keyed requests for 300 s (`key-memory-lost`).
const waitForWorkers = (cluster: Cluster): Promise<true[]> =>
  Promise.all(
    cluster.workers.map(({ id, port }) =>
      waitUntil(`${id} answers`, 10_000, async () =>
        (await callApi(port, 'GET', '/v1/lease')).status === 200 ? (true as const) : undefined,
      ),
    ),
  );

/** Starts a cluster with two workspaces and waits until it is ready; kills it if that fails. */
export const startTestCluster = async (spec: ClusterSpec): Promise<Cluster> => {
  const cluster = await startCluster(spec);
  try {
    await waitForWorkers(cluster);
    await registerWorkers(cluster);
    await propose(cluster, 'teams/desk', team);
    await waitForReadyCluster(cluster);
  } catch (error) {
    await killCluster(cluster);
    throw error;
  }
  return cluster;
};
