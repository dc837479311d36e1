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

// Longest time for which only some parts of a gang may run (property P2); covers `taskLeaseMs` plus
// one renewal.
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

type Takeover = Awaited<ReturnType<typeof killLeadUnderLoad>>;

const expectGangKept = ({ before, after, journal, jobId }: Takeover): void => {
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
  // Some requests must run on workers when the lead is killed.
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

// Guards against a takeover that restarts a running gang, or repeats or loses a request.
test('takeover from a killed scheduler keeps gangs and requests', async () => {
  const result = await killLeadUnderLoad('scheduler', (vm) => killDaemon(vm, 'scheduler'));
  expect(findInconsistentResponses(result.requests, result.journal)).toEqual([]);
  expectAnswered(result.requests);
  expectGangKept(result);
}, 40_000);

// Guards against a takeover that restarts a running gang, or repeats or loses a request, when the
// gateway and the recorder of the VM are killed with the lead.
test('takeover from a killed VM keeps gangs and requests', async () => {
  const result = await killLeadUnderLoad('vm', killVm);
  expect(findInconsistentResponses(result.requests, result.journal)).toEqual([]);
  expectAnswered(result.requests.filter(({ port: sentTo }) => sentTo !== result.lead.httpPort));
  expectGangKept(result);
}, 40_000);

const pauseMs = 5000;

// Guards against a paused lead that sends its queued requests to workers, or leads again, after it
// resumes: its leases have expired and another scheduler is the lead.
test('paused lead loses its workers and does not lead again', async () => {
  const lead = await waitForLead(cluster, 'zone-a', port);
  const scheduler = lead.daemons.scheduler!;
  const linesBefore = scheduler.lines.length;
  const ports = cluster.vms.filter(({ zone }) => zone === 'zone-a').map((vm) => vm.httpPort);
  // Needs more than the 24 slots of the zone, so that the paused scheduler has queued requests.
  const queued = startLoad(cluster, { name: 'paused', ports, everyMs: 2, workMs: 400 });
  await waitUntil('the slots are full', 3000, async () =>
    countOpenRequests(await readJournals(cluster), '/paused/') >= 24 ? true : undefined,
  );
  scheduler.signal('SIGSTOP');
  const pausedAt = performance.now();
  const queuedRequests = queued.stop();
  const load = startLoad(cluster, { name: 'resumed', ports, everyMs: 50, workMs: 200 });
  const next = await waitForLead(cluster, 'zone-a', port, lead.id);
  await waitUntil('the pause is over', pauseMs, () =>
    performance.now() - pausedAt >= pauseMs ? true : undefined,
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
  // A worker may run one request more than its 8 slots (section 4.1 of the design).
  expect(measurePeakConcurrency(journal).filter(({ peak }) => peak > 9)).toEqual([]);
}, 40_000);
