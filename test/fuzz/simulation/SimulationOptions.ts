import type { reduce } from '../../../src/core/reduce.js';
import type { Role } from '../../../src/core/Role.js';

/** Size and variations of a simulation. */
export interface SimulationOptions {
  zones: string[];
  workersPerZone: number;
  /** Daemons on each VM; without a recorder, the simulation delivers the settings. */
  roles: Role[];
  /** Whether workspace `beta` is guaranteed two workers of the first zone. */
  guaranteed?: true;
  tracing: boolean;
  /** Replaces the reducer, to disable a rule. */
  reduce?: typeof reduce;
}
