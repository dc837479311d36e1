import type { reduce } from '../../../src/core/reduce.js';
import type { Role } from '../../../src/core/Role.js';

/** Size of a simulation and what is changed in it. */
export interface SimulationOptions {
  zones: string[];
  workersPerZone: number;
  roles: Role[];
  /** Whether workspace `beta` is guaranteed two workers of the first zone. */
  guaranteed?: true;
  tracing: boolean;
  /** Replaces `reduce`, to take a rule out. */
  reduce?: typeof reduce;
}
