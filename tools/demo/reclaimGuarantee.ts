import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { submitJob } from './submitJob.js';
import { waitForState } from './waitForState.js';

const reclaimLimitMs = 6100;

const shape = ['--accelerators', '8', '--zone', 'zone-a', '--adjacency', 'rack'];

const run = async (context: DemoContext): Promise<void> => {
  await submitJob(context, 'transects', 'borrower', [
    ...shape,
    '--tasks',
    '4',
    '--declared-ms',
    '60000',
    '--preemptible',
    '--payload',
    '{"runMs":60000,"checkpointMs":300}',
  ]);
  const borrower = await waitForState(context, 'transects', 'borrower', 'running', 10_000);
  assertCondition(
    borrower.parts.some(({ borrowed }) => borrowed),
    'the job borrows guaranteed capacity',
  );
  const askedAt = performance.now();
  await submitJob(context, 'labels', 'urgent', [
    ...shape,
    '--tasks',
    '2',
    '--declared-ms',
    '20000',
    '--urgent',
    '--payload',
    '{"runMs":20000}',
  ]);
  await waitForState(context, 'labels', 'urgent', 'running', reclaimLimitMs);
  const tookMs = Math.round(performance.now() - askedAt);
  assertCondition(tookMs <= reclaimLimitMs, `the guarantee runs within ${reclaimLimitMs} ms`);
  context.print(`guarantee reclaimed from borrowed work in ${tookMs} ms`);
};

/** Reclaims a guarantee from work that borrowed it. */
export const reclaimGuarantee: DemoStep = { title: 'a guarantee is reclaimed', run };
