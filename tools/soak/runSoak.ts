import fs from 'node:fs';
import { cac } from 'cac';
import { runSoakSeed } from './runSoakSeed.js';
import type { SoakProfile } from './SoakProfile.js';

interface SoakFlags {
  seed: number;
  minutes: number;
  playSeconds: number;
  nodes: number;
  workers: number;
  profile: SoakProfile;
  faults: boolean;
  faultGapSeconds: number;
}

const msPerMinute = 60_000;

const runSeeds = async (flags: SoakFlags): Promise<void> => {
  const { seed: firstSeed, minutes, playSeconds, nodes, workers, profile } = flags;
  const maxFaultGapMs = flags.faults ? flags.faultGapSeconds * 1000 : null;
  const until = performance.now() + minutes * msPerMinute;
  let failures = 0;
  for (
    let currentSeed = firstSeed;
    currentSeed === firstSeed || performance.now() < until;
    currentSeed += 1
  ) {
    // eslint-disable-next-line no-await-in-loop -- one installation at a time.
    const { logs, loadSamples, ...report } = await runSoakSeed({
      seed: currentSeed,
      loadDurationMs: playSeconds * 1000,
      nodes,
      workers,
      profile,
      maxFaultGapMs,
    });
    const { faults, excused } = report;
    const summary = { ...report, faults: faults.length, excused: excused.length };
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    if (report.broken.length > 0) {
      failures += 1;
      fs.writeFileSync(
        `soak-${currentSeed}.json`,
        JSON.stringify({ ...report, loadSamples, logs }, null, 1),
      );
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
  .option('--nodes <n>', 'Entry VMs', { default: 3 })
  .option('--workers <n>', 'Backend servers', { default: 6 })
  .option('--profile <name>', 'Faults and jobs: mixed, drains or all', { default: 'mixed' })
  .option('--no-faults', 'Inject no faults')
  .option('--fault-gap-seconds <n>', 'Longest time between two faults', { default: 1.8 })
  .action(runSeeds);
cli.help();
cli.parse();
