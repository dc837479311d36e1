import type { TimingBounds } from '../TimingBounds.js';

/** The settings of a VM that can change while its daemon runs. */
export interface NodeSettings {
  /** CPU share of this VM in cores; may be below 1. */
  cores: number;
  bounds: TimingBounds;
}
