import { runCli } from '../cluster/runCli.js';
import { waitUntil } from '../cluster/waitUntil.js';
import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { readTaskDurations } from './readTaskDurations.js';
import { waitForState } from './waitForState.js';

// Allowed difference between the times of an event on the worker and on the scheduler.
const toleranceMs = 1500;

interface JsonInvoice {
  jobs: {
    jobId: string;
    lines: { kind: string; taskId: string; fromWall: number; toWall: number }[];
  }[];
  openTasks: { jobId: string }[];
}

const runInvoiceCommand = async (
  { cluster, httpPort, startedWall }: DemoContext,
  workspace: string,
  options: string[],
): Promise<string> => {
  const fromTo = [startedWall, Date.now() + 1000].map((wall) => new Date(wall).toISOString());
  const period = ['--from', fromTo[0]!, '--to', fromTo[1]!];
  const args = ['invoice', workspace, ...period, ...options];
  const run = await runCli(httpPort, cluster.rootToken, args);
  assertCondition(run.code === 0, `the invoice of ${workspace} is printed (${run.stderr})`);
  return run.stdout;
};

const readEndedRuns = async (context: DemoContext): Promise<Map<string, number> | undefined> => {
  const invoice = JSON.parse(await runInvoiceCommand(context, 'labels', ['--json'])) as JsonInvoice;
  const jobIds = [context.jobs.gang, context.jobs.urgent];
  const jobs = invoice.jobs.filter(({ jobId }) => jobIds.includes(jobId));
  const isOpen = invoice.openTasks.some(({ jobId }) => jobIds.includes(jobId));
  if (jobs.length < jobIds.length || isOpen) return undefined;
  const lines = jobs.flatMap((job) => job.lines).filter(({ kind }) => kind === 'run');
  return new Map(lines.map(({ taskId, fromWall, toWall }) => [taskId, toWall - fromWall]));
};

const compareRuns = (recorded: Map<string, number>, ran: Map<string, number>): number => {
  const differences = [...recorded].map(([taskId, recordedMs]) => {
    const ranMs = ran.get(taskId);
    assertCondition(ranMs !== undefined, `a worker ran ${taskId}`);
    return Math.abs(recordedMs - (ranMs ?? 0));
  });
  return Math.max(...differences);
};

const run = async (context: DemoContext): Promise<void> => {
  await waitForState(context, 'labels', 'urgent', 'finished', 30_000);
  const recorded = await waitUntil('the invoice has the ends of both gangs', 15_000, () =>
    readEndedRuns(context),
  );
  assertCondition(recorded.size === 4, 'both gangs of two parts are in the invoice');
  const maxDifferenceMs = compareRuns(recorded, await readTaskDurations(context.cluster));
  assertCondition(
    maxDifferenceMs <= toleranceMs,
    `recorded run times are within ${toleranceMs} ms of the workers' journals`,
  );
  context.print(
    `4 recorded runs differ from the workers' journals by at most ${maxDifferenceMs} ms`,
  );
  context.print(`invoice of labels:\n${await runInvoiceCommand(context, 'labels', [])}`);
  context.print(`invoice of transects:\n${await runInvoiceCommand(context, 'transects', [])}`);
};

/** Compares the invoice with the workers' journals and prints the invoices of both workspaces. */
export const reportUsage: DemoStep = { title: 'the usage report', run };
