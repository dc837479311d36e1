import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { assertCondition } from './assertCondition.js';
import { submitJob } from './submitJob.js';
import { waitForState } from './waitForState.js';

const run = async (context: DemoContext): Promise<void> => {
  await submitJob(context, 'labels', 'gang', [
    '--tasks',
    '2',
    '--accelerators',
    '8',
    '--declared-ms',
    '2000',
    '--adjacency',
    'rack',
    '--zone',
    'zone-a',
    '--payload',
    '{"runMs":2000}',
  ]);
  const running = await waitForState(context, 'labels', 'gang', 'running', 10_000);
  const workers = new Set(running.parts.map(({ workerId }) => workerId));
  assertCondition(workers.size === 2, 'the gang uses two whole workers');
  context.print(`gang of 16 accelerators runs on ${[...workers].join(' and ')}`);
  await waitForState(context, 'labels', 'gang', 'finished', 15_000);
  context.print('gang finished');
};

/** Runs a gang job on 16 accelerators. */
export const runGang: DemoStep = { title: 'a gang job on 16 accelerators', run };
