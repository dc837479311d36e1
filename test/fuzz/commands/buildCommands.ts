import fc from 'fast-check';
import { commandArbitraries } from './commandArbitraries.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Builds the arbitrary of command sequences from the weight of each type of command. */
export const buildCommands = (
  weights: Partial<Record<FuzzCommand['type'], number>>,
  maxLength: number,
): fc.Arbitrary<FuzzCommand[]> =>
  fc.array(
    fc.oneof(
      ...Object.entries(weights).map(([type, weight]) => ({
        weight,
        arbitrary: commandArbitraries[type as FuzzCommand['type']],
      })),
    ),
    { minLength: 1, maxLength, size: 'max' },
  );
