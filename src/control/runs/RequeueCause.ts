import type { StopReason } from '../plans/StopReason.js';
import type { EndKind } from '../workers/EndKind.js';
import type { WorkerRefusal } from '../workers/WorkerRefusal.js';

/** Why a run is over without a result. */
export type RequeueCause =
  | EndKind
  | WorkerRefusal
  | StopReason
  | 'worker-restarted'
  | 'worker-left'
  | 'lease-over'
  | 'not-listed'
  | 'worker-unusable';
