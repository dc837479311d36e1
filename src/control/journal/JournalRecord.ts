import type { Progress } from '../jobs/Progress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';
import type { Submission } from '../jobs/Submission.js';

/** A record of the journal; of equal keys only the newest is kept. */
export type JournalRecord =
  | { type: 'submission'; submission: Submission }
  | { type: 'cancellation'; id: string; at: number }
  | { type: 'progress'; id: string; progress: Progress }
  | { type: 'lead'; token: number; vmId: string; resigned: boolean }
  | { type: 'speeds'; speeds: WorkerSpeed[] }
  | { type: 'dropped'; of: 'submission' | 'cancellation' | 'progress'; id: string };
