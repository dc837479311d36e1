import fc from 'fast-check';
import type { reduce } from '../../src/core/reduce.js';
import { buildCommands } from './commands/buildCommands.js';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

interface FoundViolation {
  /** With `commands`, which are shrunk, `runScenario` reproduces the violation. */
  simulationSeed: number;
  commands: FuzzCommand[];
  violation: string;
  /** Number of scenarios run until the violation was found, without shrinking. */
  runs: number;
}

/** Searches for a scenario that breaks a promise and shrinks it; null if every run keeps it. */
export const findViolation = (
  promise: PromiseName,
  options: { seed: number; runs: number; reduce?: typeof reduce; shrink?: boolean },
): FoundViolation | null => {
  const profile = profiles[promise];
  const mutation = options.reduce ? { reduce: options.reduce } : {};
  const scenarios = fc.tuple(
    fc.noShrink(fc.integer({ min: 1, max: 1_000_000 })),
    buildCommands(profile.weights, profile.maxLength),
  );
  const result = fc.check(
    fc.property(scenarios, ([simulationSeed, commands]) => {
      const { violation } = runScenario(profile, simulationSeed, commands, mutation);
      return violation === null;
    }),
    { seed: options.seed, numRuns: options.runs, endOnFailure: options.shrink === false },
  );
  if (result.counterexample === null) return null;
  const [[simulationSeed, commands]] = result.counterexample;
  const { violation } = runScenario(profile, simulationSeed, commands, mutation);
  return {
    simulationSeed,
    commands,
    violation: violation ?? 'not reproduced',
    runs: result.numRuns,
  };
};
