import { cac } from 'cac';
import type { LoadOptions } from './LoadOptions.js';
import { runLoad } from './runLoad.js';

const formatShare = (share: number): string => `${(share * 100).toFixed(1).padStart(5)} %`;

const cli = cac('load');
cli
  .command('', 'Load one daemon on stand-ins and show where its CPU time goes')
  .option('--workers <n>', 'Stand-in workers', { default: 66 })
  .option('--job-rate <n>', 'Jobs per second', { default: 3 })
  .option('--job-width <n>', 'Mean number of tasks of a job', { default: 8 })
  .option('--run-ms <n>', 'Mean run time of a task', { default: 3000 })
  .option('--seconds <n>', 'Duration of the load', { default: 20 })
  .option('--seed <n>', 'Seed of the jobs', { default: 1 })
  .option('--node-flags <flags>', 'Flags of Node.js for the daemon', {
    default: '--max-old-space-size=160 --max-semi-space-size=8',
  })
  .option('--no-profile', 'Measure without a CPU profile')
  .action(async (options: LoadOptions) => {
    const { functions, ...report } = await runLoad(options);
    process.stdout.write(`${JSON.stringify(report)}\n`);
    functions.forEach(({ name, self, total }) =>
      process.stdout.write(`${formatShare(total)} ${formatShare(self)} ${name}\n`),
    );
  });
cli.help();
cli.parse();
