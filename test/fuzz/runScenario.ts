import type { reduce } from '../../src/core/reduce.js';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { runCommand } from './commands/runCommand.js';
import type { Profile } from './Profile.js';
import { createSimulation } from './simulation/createSimulation.js';
import { runUntil } from './simulation/runUntil.js';

interface ScenarioResult {
  /** Description of the violation, or null. */
  violation: string | null;
  trace: string[];
}

/** Runs a scenario from a seed and checks it after every command and after the settle time. */
export const runScenario = (
  profile: Profile,
  seed: number,
  commands: FuzzCommand[],
  options: { tracing?: boolean; reduce?: typeof reduce } = {},
): ScenarioResult => {
  const simulation = createSimulation(seed, {
    ...profile.simulation,
    tracing: options.tracing ?? false,
    ...(options.reduce ? { reduce: options.reduce } : {}),
  });
  const { trace } = simulation.history;
  for (const command of commands) {
    runCommand(simulation, command);
    const violation = profile.property(simulation);
    if (violation !== null) return { violation, trace };
  }
  runUntil(simulation, Math.max(simulation.now, simulation.faultsEndAt) + profile.settleMs);
  return {
    violation: profile.property(simulation) ?? profile.finalProperty?.(simulation) ?? null,
    trace,
  };
};
