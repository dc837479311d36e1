import type { reduce } from '../../src/core/reduce.js';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { runCommand } from './commands/runCommand.js';
import type { Profile } from './Profile.js';
import { createWorld } from './world/createWorld.js';
import { runUntil } from './world/runUntil.js';

interface Outcome {
  /** What is wrong, or null. */
  fault: string | null;
  trace: string[];
}

/** Runs one scenario from a seed; judges after every command and once everything has settled. */
export const runScenario = (
  profile: Profile,
  seed: number,
  commands: FuzzCommand[],
  options: { tracing?: boolean; reduce?: typeof reduce } = {},
): Outcome => {
  const world = createWorld(seed, {
    ...profile.world,
    tracing: options.tracing ?? false,
    ...(options.reduce ? { reduce: options.reduce } : {}),
  });
  const { trace } = world.history;
  for (const command of commands) {
    runCommand(world, command);
    const fault = profile.property(world);
    if (fault !== null) return { fault, trace };
  }
  runUntil(world, Math.max(world.now, world.faultsEndAt) + profile.settleMs);
  return { fault: profile.property(world) ?? profile.settled?.(world) ?? null, trace };
};
