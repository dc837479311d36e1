import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import type { ClusterVm } from '../../tools/cluster/ClusterVm.js';
import { startVm } from '../../tools/cluster/startVm.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { cancelGang } from './helpers/cancelGang.js';
import { countOpenRequests } from './helpers/countOpenRequests.js';
import { killCluster } from './helpers/killCluster.js';
import { findInconsistentResponses } from './helpers/findInconsistentResponses.js';
import { isReady } from './helpers/isReady.js';
import { measureLongestPartialRun } from './helpers/measureLongestPartialRun.js';
import { readJournals } from './helpers/readJournals.js';
import { sendRequest } from './helpers/sendRequest.js';
import type { SentRequest } from './helpers/SentRequest.js';
import { startLoad } from './helpers/startLoad.js';
import { startTestCluster } from './helpers/startTestCluster.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForExit } from './helpers/waitForExit.js';
import { waitForJob } from './helpers/waitForJob.js';
import { waitForLead } from './helpers/waitForLead.js';
import { waitForReadyCluster } from './helpers/waitForReadyCluster.js';

// Default of `shutdownMs`.
const shutdownLimitMs = 30_000;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTestCluster({
    zones: ['zone-a'],
    vmsPerZone: 2,
    workersPerZone: 3,
    timing: { balancerDrainMs: 1500 },
  });
}, 40_000);

afterAll(() => killCluster(cluster));

const startSlowRequests = async (
  { httpPort }: ClusterVm,
  name: string,
  slowCount: number,
): Promise<{ ended: Promise<SentRequest[]> }> => {
  const slow = Array.from({ length: slowCount }, (_, index) =>
    sendRequest(cluster, {
      port: httpPort,
      path: `/${name}/${index}`,
      method: index % 2 === 0 ? 'GET' : 'POST',
      workMs: 2000,
    }),
  );
  await waitUntil('the slow requests run', 1500, async () =>
    countOpenRequests(await readJournals(cluster), `/${name}/`) === slowCount ? true : undefined,
  );
  return { ended: Promise.all(slow) };
};

const expectAllAnswered = async (requests: SentRequest[]): Promise<void> => {
  expect(requests.filter(({ status }) => status !== 200)).toEqual([]);
  expect(findInconsistentResponses(requests, await readJournals(cluster))).toEqual([]);
};

// Guards against responses that the shutdown truncates, and against a listener that closes before
// the load balancer has seen that the gateway is not ready.
test('gateway stopped by SIGTERM completes slow requests', async () => {
  const vm = cluster.vms[0]!;
  const gateway = vm.daemons.gateway!;
  const slow = await startSlowRequests(vm, 'gateway', 16);
  gateway.signal('SIGTERM');
  await waitUntil('the gateway is not ready', 1000, async () =>
    (await isReady(vm)) ? undefined : true,
  );
  const late = await sendRequest(cluster, { port: vm.httpPort, path: '/gateway/late' });
  await expectAllAnswered([...(await slow.ended), late]);
  expect(await waitForExit(gateway, shutdownLimitMs)).toBe(0);
  delete vm.daemons.gateway;
  startVm(vm);
  await waitForReadyCluster(cluster);
}, 50_000);

// Guards against a shutdown of the lead that interrupts requests or jobs, or that does not exit
// with 0.
test('SIGTERM of the lead VM interrupts no request and no job', async () => {
  const port = cluster.vms[1]!.httpPort;
  const vm = await waitForLead(cluster, 'zone-a', port);
  const other = cluster.vms.find(({ id }) => id !== vm.id)!;
  const gang = { zone: 'zone-a', tasks: 2, runMs: 60_000 };
  const jobId = await submitGang(cluster, other.httpPort, gang);
  const before = await waitForJob(cluster, other.httpPort, jobId, 'running', 5000);
  const load = startLoad(cluster, {
    name: 'vm',
    ports: [other.httpPort],
    everyMs: 50,
    workMs: 100,
  });
  // The gang occupies two of three workers, which leaves 8 slots for short requests.
  const slow = await startSlowRequests(vm, 'slow', 4);
  const daemons = Object.values(vm.daemons);
  daemons.forEach((daemon) => daemon.signal('SIGTERM'));
  const exits = await Promise.all(daemons.map((daemon) => waitForExit(daemon, shutdownLimitMs)));
  vm.daemons = {};
  await waitForLead(cluster, 'zone-a', other.httpPort, vm.id);
  const requests = [...(await slow.ended), ...(await load.stop())];
  const after = await waitForJob(cluster, other.httpPort, jobId, 'running', 5000);
  await cancelGang(cluster, other.httpPort, jobId);
  expect(exits).toEqual([0, 0, 0]);
  await expectAllAnswered(requests);
  expect(after.attempt).toBe(before.attempt);
  expect(measureLongestPartialRun(await readJournals(cluster), jobId)).toBeLessThan(9000);
}, 50_000);
