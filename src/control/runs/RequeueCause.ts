import type { StopReason } from '../plans/StopReason.js';
import type { EndKind } from '../workers/EndKind.js';
import type { WorkerRefusal } from '../workers/WorkerRefusal.js';

/** Why a run ended without a result, so that its task is requeued. */
export type RequeueCause =
  | EndKind
  | WorkerRefusal
  | StopReason
  | 'worker-restarted'
  | 'lease-over'
  | 'not-listed'
  | 'worker-unusable'
  | 'leader-paused'
  | 'lead-unconfirmed'
  | 'journal-behind'
  | 'progress-refused';
