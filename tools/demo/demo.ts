import { startCluster } from '../cluster/startCluster.js';
import { stopCluster } from '../cluster/stopCluster.js';
import { burstRequests } from './burstRequests.js';
import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { killLead } from './killLead.js';
import { prepareSettings } from './prepareSettings.js';
import { reclaimGuarantee } from './reclaimGuarantee.js';
import { reportUsage } from './reportUsage.js';
import { runGang } from './runGang.js';

const stopLimitMs = 15_000;

const steps: readonly DemoStep[] = [
  prepareSettings,
  runGang,
  burstRequests,
  reclaimGuarantee,
  killLead,
  reportUsage,
];

const startedAt = performance.now();

const print = (text: string): void => {
  process.stdout.write(`[${((performance.now() - startedAt) / 1000).toFixed(1)} s] ${text}\n`);
};

const runSteps = async (context: DemoContext): Promise<void> => {
  for (const step of steps) {
    print(`--- ${step.title}`);
    // eslint-disable-next-line no-await-in-loop -- each step depends on the previous one
    await step.run(context);
  }
};

const runDemo = async (): Promise<number> => {
  print('--- stand-ins, 2 zones with 2 entry VMs each, 4 workers each');
  const cluster = await startCluster({
    zones: ['zone-a', 'zone-b'],
    vmsPerZone: 2,
    workersPerZone: 4,
    timing: { balancerDrainMs: 500 },
  });
  // The last VM is in zone-b and is not killed.
  const { httpPort } = cluster.vms.at(-1)!;
  const context: DemoContext = {
    cluster,
    startedWall: Date.now(),
    httpPort,
    jobs: {},
    print,
  };
  let failure: unknown = null;
  try {
    await runSteps(context);
  } catch (error) {
    failure = error;
  }
  print('--- graceful shutdown of all daemons');
  const { exits } = await stopCluster(cluster, stopLimitMs);
  print(JSON.stringify(exits));
  try {
    assertCondition(
      Object.values(exits).every((exit) => exit === 0),
      'every daemon exits with code 0',
    );
  } catch (error) {
    failure ??= error;
  }
  print(failure === null ? 'all checks passed' : String(failure));
  return failure === null ? 0 : 1;
};

process.exitCode = await runDemo();
