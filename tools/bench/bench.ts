// Benchmarks scheduling policies in virtual time; `--list` names experiments and their policies.
import fs from 'node:fs';
import { cac } from 'cac';
import { compareWithBound } from './compareWithBound.js';
import { experiments } from './experiments/experiments.js';
import { formatResult } from './formatResult.js';
import { runExperiment } from './runExperiment.js';

const usageExitCode = 2;

const writeLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const failUsage = (message: string): never => {
  process.stderr.write(`${message}\n`);
  process.exit(usageExitCode);
};

const listExperiments = (): void =>
  Object.entries(experiments).forEach(([name, { policies }]) =>
    writeLine(`${name}: ${policies.join(', ')}`),
  );

const cli = cac('bench');
cli.option('--list', 'List the experiments and their policies');
cli.option('--experiment <name>', 'Experiment to run');
cli.option('--seed <n>', 'First seed', { default: 1 });
cli.option('--runs <n>', 'Number of seeds, counted up from the first', { default: 10 });
cli.option('--policy <name>', 'Run one policy only; all of the experiment by default');
cli.option('--json <file>', 'Also write the result as JSON');
cli.help();

const runBench = (options: Record<string, unknown>): void => {
  const name = String(options.experiment);
  const experiment = experiments[name];
  if (!experiment) return failUsage(`unknown experiment '${name}'; --list names them`);
  const [seed, runs] = [Number(options.seed), Number(options.runs)];
  if (!Number.isInteger(seed) || !Number.isInteger(runs) || runs < 1) {
    return failUsage('--seed must be a whole number and --runs at least 1');
  }
  const policy = options.policy as string | undefined;
  if (policy !== undefined && !experiment.policies.includes(policy)) {
    return failUsage(`unknown policy '${policy}' for ${name}; --list names them`);
  }
  const seeds = Array.from({ length: runs }, (_, index) => seed + index);
  const policies = policy === undefined ? experiment.policies : [policy];
  const result = runExperiment(experiment, policies, seeds);
  const comparisons = compareWithBound(experiment, result);
  writeLine(formatResult(result, comparisons));
  const json = options.json as string | undefined;
  if (json !== undefined) {
    fs.writeFileSync(json, `${JSON.stringify({ name, seeds, result, comparisons }, null, 2)}\n`);
  }
  return undefined;
};

const { options } = cli.parse();
if (options.list) listExperiments();
else if (!options.help) runBench(options);
