import fs from 'node:fs';
import { cac } from 'cac';
import { runSoakSeed } from './runSoakSeed.js';

interface SoakFlags {
  seed: number;
  minutes: number;
  playSeconds: number;
}

const msPerMinute = 60_000;

const runSeeds = async ({ seed: firstSeed, minutes, playSeconds }: SoakFlags): Promise<void> => {
  const until = performance.now() + minutes * msPerMinute;
  let failures = 0;
  for (
    let currentSeed = firstSeed;
    currentSeed === firstSeed || performance.now() < until;
    currentSeed += 1
  ) {
    // eslint-disable-next-line no-await-in-loop -- one installation at a time.
    const { logs, ...report } = await runSoakSeed({
      seed: currentSeed,
      loadDurationMs: playSeconds * 1000,
    });
    process.stdout.write(`${JSON.stringify({ ...report, faults: report.faults.length })}\n`);
    if (report.broken.length > 0) {
      failures += 1;
      fs.writeFileSync(`soak-${currentSeed}.json`, JSON.stringify({ ...report, logs }, null, 1));
    }
  }
  process.exitCode = failures > 0 ? 1 : 0;
};

const cli = cac('soak');
cli
  .command('', 'Inject random faults into the real programs, one seed after another')
  .option('--seed <n>', 'First seed', { default: 1 })
  .option('--minutes <n>', 'Minutes after which no further seed is started', { default: 0 })
  .option('--play-seconds <n>', 'Seconds of client load and faults for each seed', { default: 15 })
  .action(runSeeds);
cli.help();
cli.parse();
