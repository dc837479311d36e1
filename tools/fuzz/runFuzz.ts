import { findViolation } from '../../test/fuzz/findViolation.js';
import { profiles } from '../../test/fuzz/profiles.js';
import type { PromiseName } from '../../test/fuzz/PromiseName.js';
import { runScenario } from '../../test/fuzz/runScenario.js';

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const readOption = (name: string, fallback: string): string => {
  const index = process.argv.indexOf(`--${name}`);
  return process.argv[index + 1] && index >= 0 ? process.argv[index + 1]! : fallback;
};

const isPromiseName = (name: string): name is PromiseName => name in profiles;

const runPromise = (promise: PromiseName, seed: number, runs: number): boolean => {
  const startedAt = performance.now();
  const found = findViolation(promise, { seed, runs });
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  if (!found) {
    print(`${promise}: ${runs} runs with seed ${seed} kept the promise (${seconds} s)`);
    return true;
  }
  const { simulationSeed, commands, violation } = found;
  const { trace } = runScenario(profiles[promise], simulationSeed, commands, { tracing: true });
  trace.forEach(print);
  print(`${promise}: ${violation} (seed ${seed}, run ${found.runs}, ${seconds} s)`);
  print(`simulation seed ${simulationSeed}, commands:\n${JSON.stringify(commands)}`);
  return false;
};

const requested = readOption('promise', 'all');
const names = Object.keys(profiles).filter((name) => requested === 'all' || name === requested);
if (names.length === 0) print(`unknown promise: ${requested}`);
const results = names
  .filter(isPromiseName)
  .map((name) =>
    runPromise(name, Number(readOption('seed', '1')), Number(readOption('runs', '100'))),
  );
process.exitCode = results.length > 0 && results.every(Boolean) ? 0 : 1;
