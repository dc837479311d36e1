import { findFault } from '../../test/fuzz/findFault.js';
import { profiles } from '../../test/fuzz/profiles.js';
import type { PromiseName } from '../../test/fuzz/PromiseName.js';
import { runScenario } from '../../test/fuzz/runScenario.js';

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const readOption = (name: string, standard: string): string => {
  const index = process.argv.indexOf(`--${name}`);
  return process.argv[index + 1] && index >= 0 ? process.argv[index + 1]! : standard;
};

const isPromiseName = (name: string): name is PromiseName => name in profiles;

const runPromise = (promise: PromiseName, seed: number, runs: number): boolean => {
  const startedAt = performance.now();
  const found = findFault(promise, { seed, runs });
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  if (!found) {
    print(`${promise}: ${runs} runs with seed ${seed} kept the promise (${seconds} s)`);
    return true;
  }
  const { worldSeed, commands, fault } = found;
  const { trace } = runScenario(profiles[promise], worldSeed, commands, { tracing: true });
  trace.forEach(print);
  print(`${promise}: ${fault} (seed ${seed}, run ${found.runs}, ${seconds} s)`);
  print(`world seed ${worldSeed}, commands:\n${JSON.stringify(commands)}`);
  return false;
};

const wanted = readOption('promise', 'all');
const names = Object.keys(profiles).filter((name) => wanted === 'all' || name === wanted);
if (names.length === 0) print(`unknown promise: ${wanted}`);
const kept = names
  .filter(isPromiseName)
  .map((name) =>
    runPromise(name, Number(readOption('seed', '1')), Number(readOption('runs', '100'))),
  );
process.exitCode = kept.length > 0 && kept.every(Boolean) ? 0 : 1;
