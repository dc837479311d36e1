import type { ProposalVerdict } from './ProposalVerdict.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';

/**
 * Settings and verdicts derived from the `settings` stream up to an offset; the same on every VM.
 */
export interface SettingsProjection {
  /** Offset of the newest applied record; -1 before the first. */
  offset: number;
  snapshot: SettingsSnapshot;
  /** Newest verdicts, oldest first; used to detect repeated proposals. */
  verdicts: ProposalVerdict[];
}
