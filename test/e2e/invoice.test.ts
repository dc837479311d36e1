import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { Invoice } from '../../src/core/usage/Invoice.js';
import { killVm } from '../../tools/cluster/killVm.js';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import { runCli } from '../../tools/cluster/runCli.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { killCluster } from './helpers/killCluster.js';
import type { JournalEntry } from './helpers/JournalEntry.js';
import { readJournals } from './helpers/readJournals.js';
import { startTestCluster } from './helpers/startTestCluster.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForJob } from './helpers/waitForJob.js';
import { waitForLead } from './helpers/waitForLead.js';

// Allowed difference between the times of an event on the worker and on the scheduler.
const toleranceMs = 1500;
// Takeover (7.5 s), expiry of a task lease (6 s) and delay of records in the log (8 s), rounded up.
const recordLimitMs = 22_000;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTestCluster({ zones: ['zone-a'], vmsPerZone: 2, workersPerZone: 3 });
}, 40_000);

afterAll(() => killCluster(cluster));

interface Run {
  taskId: string;
  fromWall: number;
  toWall: number;
}

const listRuns = (journal: JournalEntry[]): Run[] => {
  const ends = new Map(
    journal.flatMap((line) =>
      line.kind === 'taskEnded' ? [[line.taskId, line.wall] as const] : [],
    ),
  );
  return journal.flatMap((line) => {
    const toWall = line.kind === 'taskStarted' ? ends.get(line.taskId) : undefined;
    return line.kind === 'taskStarted' && toWall !== undefined
      ? [{ taskId: line.taskId, fromWall: line.wall, toWall }]
      : [];
  });
};

/** Finds runs that disagree with the invoice; returns each run with its invoice lines. */
const findWrongRuns = (invoice: Invoice, runs: Run[]): unknown[] =>
  runs.flatMap((run) => {
    const lines = invoice.jobs
      .flatMap((job) => job.lines)
      .filter(({ taskId }) => taskId === run.taskId);
    const unknown = invoice.unknown.filter(({ taskId }) => taskId === run.taskId);
    const recordedMs = lines.reduce(
      (sum, line) => sum + (line.kind === 'run' ? line.toWall - line.fromWall : line.deltaMs),
      0,
    );
    const ranMs = run.toWall - run.fromWall;
    const unknownMs = unknown.reduce((sum, { fromWall, toWall }) => sum + toWall - fromWall, 0);
    const isOver = recordedMs > ranMs + toleranceMs;
    const isUnder = recordedMs + unknownMs < ranMs - toleranceMs;
    // Unknown usage must not begin after the end of the run in the worker's journal.
    const isAfterEnd = unknown.some(({ fromWall }) => fromWall > run.toWall + toleranceMs);
    return isOver || isUnder || isAfterEnd ? [{ run, ranMs, recordedMs, lines, unknown }] : [];
  });

const readInvoice = async (port: number, fromWall: number): Promise<Invoice> => {
  const from = new Date(fromWall).toISOString();
  const to = new Date(Date.now() + 60_000).toISOString();
  const args = ['invoice', 'labels', '--from', from, '--to', to, '--json'];
  const run = await runCli(port, cluster.rootToken, args);
  return JSON.parse(run.stdout) as Invoice;
};

// Guards against an invoice that differs from the runs on the workers when the lead is killed just
// after one gang has ended and while another runs.
test('invoice matches the runs after a takeover', async () => {
  const startedWall = Date.now();
  const lead = await waitForLead(cluster, 'zone-a', cluster.vms[0]!.httpPort);
  const { httpPort: port } = cluster.vms.find(({ id }) => id !== lead.id)!;
  // Each gateway discovers the lead on its own; the jobs are sent to this one.
  await waitForLead(cluster, 'zone-a', port);
  const gang = { zone: 'zone-a', acceleratorsPerTask: 4 };
  const jobIds = [
    await submitGang(cluster, port, { ...gang, tasks: 3, runMs: 2000 }),
    await submitGang(cluster, port, { ...gang, tasks: 2, runMs: 9000 }),
  ];
  await Promise.all(jobIds.map((jobId) => waitForJob(cluster, port, jobId, 'running', 5000)));
  await waitForJob(cluster, port, jobIds[0]!, 'finished', 5000);
  await killVm(lead);
  await waitForLead(cluster, 'zone-a', port, lead.id);
  await waitForJob(cluster, port, jobIds[1]!, 'finished', 12_000);
  const runs = listRuns(await readJournals(cluster));
  expect(runs).toHaveLength(5);
  let wrong: unknown[] = [];
  await waitUntil('the invoice agrees with the journals', recordLimitMs, async () => {
    const invoice = await readInvoice(port, startedWall);
    wrong = findWrongRuns(invoice, runs);
    return wrong.length === 0 ? true : undefined;
  }).catch(() => undefined);
  expect(wrong).toEqual([]);
}, 60_000);
