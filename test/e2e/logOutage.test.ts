import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { UsageRecord } from '../../src/core/usage/UsageRecord.js';
import { callApi } from '../../tools/cluster/callApi.js';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import { proposeSubtree } from '../../tools/cluster/proposeSubtree.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { deduplicateRecords } from './helpers/deduplicateRecords.js';
import { killCluster } from './helpers/killCluster.js';
import { findInconsistentResponses } from './helpers/findInconsistentResponses.js';
import type { JournalEntry } from './helpers/JournalEntry.js';
import { readJournals } from './helpers/readJournals.js';
import { readStream } from './helpers/readStream.js';
import { startLoad } from './helpers/startLoad.js';
import { startTestCluster } from './helpers/startTestCluster.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForJob } from './helpers/waitForJob.js';

// Exceeds the longest lease, `taskLeaseMs` (6 s).
const outageMs = 10_000;
// Sum of `usageCountMs` (5 s), `usageResendMs` (2 s), `logRetryMs` and `usageBatchMs` (0.5 s each).
const recordLimitMs = 8000;
// Allowed difference between the times of an event on the worker and on the scheduler.
const toleranceMs = 1500;

let cluster: Cluster;
let port: number;

beforeAll(async () => {
  cluster = await startTestCluster({ zones: ['zone-a'], vmsPerZone: 2, workersPerZone: 3 });
  port = cluster.vms[1]!.httpPort;
}, 40_000);

afterAll(() => killCluster(cluster));

const countAnswered = (records: UsageRecord[]): number =>
  records.reduce((sum, record) => sum + (record.kind === 'requests' ? record.answered : 0), 0);

const findUnrecorded = (journal: JournalEntry[], records: UsageRecord[]): JournalEntry[] =>
  journal.filter((line) => {
    if (line.kind !== 'taskStarted' && line.kind !== 'taskEnded') return false;
    const matches = records.filter(
      (record) =>
        record.kind === line.kind &&
        record.taskId === line.taskId &&
        Math.abs(record.wall - line.wall) <= toleranceMs,
    );
    return matches.length !== 1;
  });

// Guards against requests and jobs that wait for the log during an outage, and against usage that
// the outage loses or counts twice.
test('log outage longer than every lease delays no work and loses no usage', async () => {
  await callApi(cluster.logPort, 'PUT', '/faults', { body: { outage: true } });
  const outageStartedAt = performance.now();
  const ports = cluster.vms.map(({ httpPort }) => httpPort);
  const load = startLoad(cluster, { name: 'outage', ports, everyMs: 25, workMs: 50 });
  const jobId = await submitGang(cluster, port, { zone: 'zone-a', tasks: 2, runMs: 3000 });
  const proposal = await proposeSubtree(cluster, 'teams/late', { tokenHashes: [] }, -1);
  expect(proposal).toMatchObject({
    status: 503,
    data: { code: 'log-unavailable', outcome: 'not-run' },
  });
  const job = await waitForJob(cluster, port, jobId, 'finished', 9000);
  expect(job.attempt).toBe(1);
  await waitUntil('the outage has lasted long enough', outageMs, () =>
    performance.now() - outageStartedAt >= outageMs ? true : undefined,
  );
  const requests = await load.stop();
  await callApi(cluster.logPort, 'PUT', '/faults', { body: { outage: false } });
  const journal = await readJournals(cluster);
  expect(requests.filter(({ status }) => status !== 200)).toEqual([]);
  expect(findInconsistentResponses(requests, journal)).toEqual([]);
  const answered = journal.filter(
    (line) => line.kind === 'requestEnded' && line.outcome === 'answered',
  ).length;
  const records = await waitUntil('every request and task is recorded', recordLimitMs, async () => {
    const found = deduplicateRecords(await readStream<UsageRecord>(cluster, 'usage'));
    const isComplete =
      countAnswered(found) >= answered && findUnrecorded(journal, found).length === 0;
    return isComplete ? found : undefined;
  });
  expect(countAnswered(records)).toBe(answered);
  expect(records.filter(({ kind }) => kind === 'taskUnknown' || kind === 'correction')).toEqual([]);
}, 50_000);
