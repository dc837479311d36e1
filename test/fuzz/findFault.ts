import fc from 'fast-check';
import type { reduce } from '../../src/core/reduce.js';
import { buildCommands } from './commands/buildCommands.js';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

interface Fault {
  /** Seed of the world and the shrunk commands; `runScenario` repeats the fault from them. */
  worldSeed: number;
  commands: FuzzCommand[];
  fault: string;
  runs: number;
}

/** Looks for a scenario that breaks a promise, and shrinks it; null if all runs keep it. */
export const findFault = (
  promise: PromiseName,
  options: { seed: number; runs: number; reduce?: typeof reduce; shrink?: boolean },
): Fault | null => {
  const profile = profiles[promise];
  const mutation = options.reduce ? { reduce: options.reduce } : {};
  const scenarios = fc.tuple(
    fc.noShrink(fc.integer({ min: 1, max: 1_000_000 })),
    buildCommands(profile.weights, profile.maxLength),
  );
  const result = fc.check(
    fc.property(scenarios, ([worldSeed, commands]) => {
      const { fault } = runScenario(profile, worldSeed, commands, mutation);
      return fault === null;
    }),
    { seed: options.seed, numRuns: options.runs, endOnFailure: options.shrink === false },
  );
  if (result.counterexample === null) return null;
  const [[worldSeed, commands]] = result.counterexample;
  const { fault } = runScenario(profile, worldSeed, commands, mutation);
  return { worldSeed, commands, fault: fault ?? 'none when repeated', runs: result.numRuns };
};
