import type { TimingBounds } from '../TimingBounds.js';
import type { StoreLimits } from './StoreLimits.js';

/** The settings of a VM that can change while its daemon runs. */
export interface NodeSettings {
  /** CPU capacity of this VM in full cores, such as 0.5 for half a core. */
  cores: number;
  bounds: TimingBounds;
  storeLimits: StoreLimits;
}
