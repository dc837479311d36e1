import type { GuaranteeShape } from './GuaranteeShape.js';

/** Settings of one workspace. */
export interface WorkspaceSettings {
  /** Relative share of free capacity between workspaces. */
  weight: number;
  guarantees: GuaranteeShape[];
  /** Accelerators that the workspace's jobs may use at once in all zones. */
  maxAccelerators: number;
  /** Short requests that may wait in one zone. */
  maxQueuedRequests: number;
}
