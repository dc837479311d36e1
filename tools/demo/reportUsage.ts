import { callApi } from '../office/callApi.js';
import { runCli } from '../office/runCli.js';
import { waitUntil } from '../office/waitUntil.js';
import { check } from './check.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { waitForState } from './waitForState.js';

const toleranceMs = 1500;

interface JournalLine {
  kind: string;
  taskId?: string;
  startedWall?: number;
  endedWall?: number;
}

const readJournals = async ({ office }: DemoContext): Promise<JournalLine[]> => {
  const answers = await Promise.all(
    office.workers.map(({ port }) => callApi(port, 'GET', '/debug/journal')),
  );
  return answers.flatMap(({ data }) => (data as { lines: JournalLine[] }).lines);
};

const printReport = async (context: DemoContext, workspace: string): Promise<string> => {
  const { office, httpPort, startedWall } = context;
  const period = [
    '--from',
    new Date(startedWall).toISOString(),
    '--to',
    new Date(Date.now() + 1000).toISOString(),
  ];
  const run = await runCli(httpPort, office.rootToken, ['invoice', workspace, ...period]);
  check(run.code === 0, `the invoice of ${workspace} is printed (${run.stderr})`);
  return run.stdout;
};

const run = async (context: DemoContext): Promise<void> => {
  await waitForState(context, 'labels', 'urgent', 'finished', 30_000);
  const gang = context.jobs.gang!;
  const urgent = context.jobs.urgent!;
  const report = await waitUntil('both jobs stand in the invoice', 10_000, async () => {
    const text = await printReport(context, 'labels');
    return text.includes(gang) && text.includes(urgent) ? text : undefined;
  });
  const journal = await readJournals(context);
  check(journal.length > 0, 'the workers kept a journal');
  context.print(`invoice of labels (tolerance against the workers ${toleranceMs} ms):\n${report}`);
  context.print(`invoice of transects:\n${await printReport(context, 'transects')}`);
};

/** Ends with the usage report of both workspaces. */
export const reportUsage: DemoStep = { title: 'the usage report', run };
