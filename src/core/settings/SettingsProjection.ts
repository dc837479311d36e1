import type { ProposalVerdict } from './ProposalVerdict.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';

/** Result of folding the `settings` stream up to an offset; the same on every VM. */
export interface SettingsProjection {
  /** Offset of the newest folded record; -1 before the first. */
  offset: number;
  snapshot: SettingsSnapshot;
  /** The newest verdicts, oldest first; a repeated proposal is recognised by them. */
  verdicts: ProposalVerdict[];
}
