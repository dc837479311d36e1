import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { callApi } from '../../tools/cluster/callApi.js';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import type { ClusterWorker } from '../../tools/cluster/ClusterWorker.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { killCluster } from './helpers/killCluster.js';
import { findInconsistentResponses } from './helpers/findInconsistentResponses.js';
import type { JournalEntry } from './helpers/JournalEntry.js';
import { readJournals } from './helpers/readJournals.js';
import type { SentRequest } from './helpers/SentRequest.js';
import { startLoad } from './helpers/startLoad.js';
import { startTestCluster } from './helpers/startTestCluster.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForJob } from './helpers/waitForJob.js';

// Longest time for which a leaving worker may still receive work (property P6).
const leaveBoundMs = 5000;
// Time after the bound in which no start may be seen.
const observeMs = 2000;

let cluster: Cluster;
let ports: number[];

beforeAll(async () => {
  cluster = await startTestCluster({ zones: ['zone-a'], vmsPerZone: 2, workersPerZone: 3 });
  ports = cluster.vms.map(({ httpPort }) => httpPort);
}, 40_000);

afterAll(() => killCluster(cluster));

const setFaults = (worker: ClusterWorker, faults: Record<string, unknown>) =>
  callApi(worker.port, 'PUT', '/faults', { body: faults });

const listStartsAfter = (journal: JournalEntry[], workerId: string, wall: number): JournalEntry[] =>
  journal.filter(
    (line) =>
      line.workerId === workerId &&
      line.wall > wall &&
      (line.kind === 'requestStarted' || line.kind === 'taskStarted'),
  );

const leaveUnderLoad = async (
  name: string,
  worker: ClusterWorker,
  leave: () => Promise<unknown>,
) => {
  const load = startLoad(cluster, { name, ports, everyMs: 20, workMs: 100 });
  await waitUntil(`${worker.id} is in use`, 3000, async () =>
    listStartsAfter(await readJournals(cluster), worker.id, 0).length > 0 ? true : undefined,
  );
  await leave();
  const leftAt = performance.now();
  const leftWall = Date.now();
  const waitAfterLeave = (ms: number) =>
    waitUntil('the observed time is over', ms + 1000, () =>
      performance.now() - leftAt >= ms ? true : undefined,
    );
  await waitAfterLeave(leaveBoundMs);
  // The gang needs two of three workers, so the scheduler could also choose the leaving one.
  const jobId = await submitGang(cluster, ports[0]!, { zone: 'zone-a', tasks: 2, runMs: 500 });
  await waitAfterLeave(leaveBoundMs + observeMs);
  const requests = await load.stop();
  await waitForJob(cluster, ports[0]!, jobId, 'finished', 8000);
  const journal = await readJournals(cluster);
  expect(listStartsAfter(journal, worker.id, leftWall + leaveBoundMs)).toEqual([]);
  expect(requests.filter(({ status }) => status !== 200)).toEqual([]);
  expect(findInconsistentResponses(requests, journal)).toEqual([]);
};

// Guards against work that is sent to a worker that reports itself as leaving.
test('worker that reports itself as leaving receives no work', async () => {
  const worker = cluster.workers[0]!;
  await leaveUnderLoad('faults', worker, () => setFaults(worker, { leaving: true }));
  await setFaults(worker, { leaving: false });
}, 30_000);

// Guards against work that is sent to a worker that only the VM list reports as leaving.
test('worker that the VM list reports as leaving receives no work', async () => {
  const worker = cluster.workers[1]!;
  const change = (state: 'live' | 'leaving') =>
    callApi(cluster.vmListPort, 'PUT', `/vms/${worker.id}`, { body: { state } });
  await leaveUnderLoad('listed', worker, () => change('leaving'));
  await change('live');
}, 30_000);

// Keeps about 20 requests running, so that each worker receives some.
const sendDuringFault = async (
  name: string,
  worker: ClusterWorker,
  faults: Record<string, unknown>,
): Promise<SentRequest[]> => {
  await setFaults(worker, faults);
  const load = startLoad(cluster, { name, ports, everyMs: 5, workMs: 100 });
  const startedAt = performance.now();
  await waitUntil('the load has lasted', 2000, () =>
    performance.now() - startedAt >= 1500 ? true : undefined,
  );
  return load.stop();
};

// Guards against a truncated response of a worker that is forwarded as a complete one.
test('truncated responses are not forwarded as complete', async () => {
  const worker = cluster.workers[0]!;
  const requests = await sendDuringFault('truncated', worker, { truncateAnswers: true });
  await setFaults(worker, { truncateAnswers: false });
  const journal = await readJournals(cluster);
  const truncatedPaths = new Set(
    journal.flatMap((line) =>
      line.kind === 'requestEnded' && line.outcome === 'interrupted' ? [line.path] : [],
    ),
  );
  expect(truncatedPaths.size).toBeGreaterThan(0);
  expect(findInconsistentResponses(requests, journal)).toEqual([]);
}, 20_000);

// Guards against an idempotent request that fails because one worker refuses connections, although
// others are free.
test('idempotent requests survive refused connections', async () => {
  const worker = cluster.workers[2]!;
  const requests = await sendDuringFault('refused', worker, { refuseConnectionsMs: 1500 });
  const journal = await waitUntil('the worker listens again', 3000, () => readJournals(cluster));
  expect(findInconsistentResponses(requests, journal)).toEqual([]);
  const idempotent = requests.filter(({ method }) => method === 'GET');
  expect(idempotent.length).toBeGreaterThan(0);
  expect(idempotent.filter(({ status }) => status !== 200)).toEqual([]);
}, 20_000);
