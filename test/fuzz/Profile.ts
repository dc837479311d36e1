import type { FuzzCommand } from './commands/FuzzCommand.js';
import type { Property } from './oracle/Property.js';
import type { SimulationOptions } from './simulation/SimulationOptions.js';

/** How one promise is tried: the simulation, the commands with their weights, and what is judged. */
export interface Profile {
  simulation: Omit<SimulationOptions, 'tracing' | 'reduce'>;
  weights: Partial<Record<FuzzCommand['type'], number>>;
  maxLength: number;
  /** Virtual time after the last command, in which all faults end and everything settles. */
  settleMs: number;
  /** Judged after every command and at the end. */
  property: Property;
  /** Judged at the end only. */
  finalProperty?: Property;
}
