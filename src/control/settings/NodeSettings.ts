import type { TimingBounds } from '../TimingBounds.js';

/** The settings of a VM that may change while its daemon runs. */
export interface NodeSettings {
  /** Share of a usual core that this VM has. */
  cores: number;
  bounds: TimingBounds;
}
