import type { StopReason } from '../plans/StopReason.js';
import type { EndKind } from '../workers/EndKind.js';
import type { StartRefusal } from '../workers/StartRefusal.js';

/** Why a run is over without a result. */
export type RequeueCause =
  | EndKind
  | StartRefusal
  | StopReason
  | 'worker-restarted'
  | 'worker-left'
  | 'lease-over'
  | 'not-listed'
  | 'worker-unusable';
