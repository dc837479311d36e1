import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { submitJob } from './submitJob.js';
import { waitForState } from './waitForState.js';

const reclaimLimitMs = 6100;

const shapeOptions = ['--accelerators', '8', '--zone', 'zone-a', '--adjacency', 'rack'];

const run = async (context: DemoContext): Promise<void> => {
  await submitJob(context, 'transects', 'borrower', [
    ...shapeOptions,
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
    'the preemptible job borrows guaranteed capacity',
  );
  const submittedAt = performance.now();
  await submitJob(context, 'labels', 'urgent', [
    ...shapeOptions,
    '--tasks',
    '2',
    '--declared-ms',
    '20000',
    '--urgent',
    '--payload',
    '{"runMs":20000}',
  ]);
  await waitForState(context, 'labels', 'urgent', 'running', reclaimLimitMs);
  const tookMs = Math.round(performance.now() - submittedAt);
  assertCondition(tookMs <= reclaimLimitMs, `the urgent job runs within ${reclaimLimitMs} ms`);
  context.print(`guaranteed capacity reclaimed from the borrowing job in ${tookMs} ms`);
};

/** Reclaims guaranteed capacity from a job that borrowed it. */
export const reclaimGuarantee: DemoStep = { title: 'reclaiming guaranteed capacity', run };
