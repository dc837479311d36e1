import type { FuzzCommand } from './commands/FuzzCommand.js';
import type { Property } from './oracle/Property.js';
import type { SimulationOptions } from './simulation/SimulationOptions.js';

/** How a promise is tested: the simulation, the weights of commands and the checked properties. */
export interface Profile {
  simulation: Omit<SimulationOptions, 'tracing' | 'reduce'>;
  weights: Partial<Record<FuzzCommand['type'], number>>;
  /** Greatest number of commands in a scenario. */
  maxLength: number;
  /** Simulation time that passes after the last command and the end of all faults. */
  settleMs: number;
  /** Checked after every command and at the end. */
  property: Property;
  /** Checked at the end only. */
  finalProperty?: Property;
}
