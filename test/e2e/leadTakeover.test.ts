import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { killVm } from '../../tools/cluster/killVm.js';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import type { ClusterVm } from '../../tools/cluster/ClusterVm.js';
import { startVm } from '../../tools/cluster/startVm.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { cancelGang } from './helpers/cancelGang.js';
import { countOpenRequests } from './helpers/countOpenRequests.js';
import { killCluster } from './helpers/killCluster.js';
import { findInconsistentResponses } from './helpers/findInconsistentResponses.js';
import { killDaemon } from './helpers/killDaemon.js';
import { measureLongestPartialRun } from './helpers/measureLongestPartialRun.js';
import { measurePeakConcurrency } from './helpers/measurePeakConcurrency.js';
import { readJournals } from './helpers/readJournals.js';
import type { SentRequest } from './helpers/SentRequest.js';
import { startLoad } from './helpers/startLoad.js';
import { startTestCluster } from './helpers/startTestCluster.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForJob } from './helpers/waitForJob.js';
import { waitForLead } from './helpers/waitForLead.js';
import { waitForReadyCluster } from './helpers/waitForReadyCluster.js';

// Bound of P2: `taskLeaseMs` and one renewal.
const gangBoundMs = 9000;
const gangStartLimitMs = 5000;

let cluster: Cluster;
let port: number;

beforeAll(async () => {
  cluster = await startTestCluster({
    zones: ['zone-a', 'zone-b'],
    vmsPerZone: 2,
    workersPerZone: 3,
    timing: { balancerDrainMs: 500 },
  });
  // The last VM is in zone-b and is not killed.
  port = cluster.vms.at(-1)!.httpPort;
}, 40_000);

afterAll(() => killCluster(cluster));

type TakeOver = Awaited<ReturnType<typeof killLeadUnderLoad>>;

const expectGangKept = ({ before, after, journal, jobId }: TakeOver): void => {
  expect(after.attempt).toBe(before.attempt);
  const starts = journal.filter((line) => line.kind === 'taskStarted' && line.jobId === jobId);
  expect(starts).toHaveLength(2);
  expect(measureLongestPartialRun(journal, jobId)).toBeLessThan(gangBoundMs);
};

const expectAnswered = (requests: SentRequest[]): void => {
  expect(requests.filter(({ method, status }) => method === 'GET' && status !== 200)).toEqual([]);
  expect(requests.filter(({ status }) => status === null)).toEqual([]);
};

const killLeadUnderLoad = async (name: string, kill: (vm: ClusterVm) => Promise<void>) => {
  const gang = { zone: 'zone-a', tasks: 2, runMs: 60_000 };
  const jobId = await submitGang(cluster, port, gang);
  const before = await waitForJob(cluster, port, jobId, 'running', gangStartLimitMs);
  const ports = cluster.vms.map(({ httpPort }) => httpPort);
  const load = startLoad(cluster, { name, ports, everyMs: 20, workMs: 100 });
  const lead = await waitForLead(cluster, 'zone-a', port);
  // Some requests are at workers when the lead dies.
  await waitUntil('requests run', 3000, async () => {
    const journal = await readJournals(cluster);
    return journal.some((line) => 'path' in line && line.path.startsWith(`/${name}/`))
      ? true
      : undefined;
  });
  await kill(lead);
  await waitForLead(cluster, 'zone-a', port, lead.id);
  const after = await waitForJob(cluster, port, jobId, 'running', gangBoundMs);
  const requests = await load.stop();
  await cancelGang(cluster, port, jobId);
  startVm(lead);
  await waitForReadyCluster(cluster);
  return { before, after, requests, lead, journal: await readJournals(cluster), jobId };
};

// Guards against a take-over that restarts a running gang, repeats a request, or loses one.
test('kill -9 of the lead scheduler', async () => {
  const seen = await killLeadUnderLoad('scheduler', (vm) => killDaemon(vm, 'scheduler'));
  expect(findInconsistentResponses(seen.requests, seen.journal)).toEqual([]);
  expectAnswered(seen.requests);
  expectGangKept(seen);
}, 40_000);

// Guards against the same when the gateway and the recorder of the lead's VM die with it.
test('kill -9 of the lead VM', async () => {
  const seen = await killLeadUnderLoad('vm', killVm);
  expect(findInconsistentResponses(seen.requests, seen.journal)).toEqual([]);
  expectAnswered(seen.requests.filter(({ port: sentTo }) => sentTo !== seen.lead.httpPort));
  expectGangKept(seen);
}, 40_000);

const stopMs = 5000;

// Guards against a paused scheduler that acts on its expired leases when it resumes.
test('SIGSTOP of the lead scheduler', async () => {
  const lead = await waitForLead(cluster, 'zone-a', port);
  const scheduler = lead.daemons.scheduler!;
  const linesBefore = scheduler.lines.length;
  const ports = cluster.vms.filter(({ zone }) => zone === 'zone-a').map((vm) => vm.httpPort);
  // More than the 24 slots of the zone, so that requests are queued at the paused scheduler.
  const queued = startLoad(cluster, { name: 'paused', ports, everyMs: 2, workMs: 400 });
  await waitUntil('the slots are full', 3000, async () =>
    countOpenRequests(await readJournals(cluster), '/paused/') >= 24 ? true : undefined,
  );
  scheduler.signal('SIGSTOP');
  const stoppedAt = performance.now();
  const queuedRequests = queued.stop();
  const load = startLoad(cluster, { name: 'resumed', ports, everyMs: 50, workMs: 200 });
  const next = await waitForLead(cluster, 'zone-a', port, lead.id);
  await waitUntil('the pause is over', stopMs, () =>
    performance.now() - stoppedAt >= stopMs ? true : undefined,
  );
  scheduler.signal('SIGCONT');
  await waitUntil('the resumed scheduler drops its workers', 2000, () => {
    const lost = scheduler.lines.slice(linesBefore).filter((line) => line.includes('worker_lost'));
    return lost.length >= 3 ? true : undefined;
  });
  const requests = [...(await queuedRequests), ...(await load.stop())];
  expect((await waitForLead(cluster, 'zone-a', port)).id).toBe(next.id);
  const journal = await readJournals(cluster);
  expect(findInconsistentResponses(requests, journal)).toEqual([]);
  expectAnswered(requests);
  // Section 4.1 of the design allows one request more than a worker's 8 slots.
  expect(measurePeakConcurrency(journal).filter(({ peak }) => peak > 9)).toEqual([]);
}, 40_000);
