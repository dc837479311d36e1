import type { PendingProposal } from './PendingProposal.js';
import type { SettingsProjection } from './SettingsProjection.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';
import type { SettingsTail } from './SettingsTail.js';

/** Settings of a daemon; the fields after `teamByTokenHash` are used by recorders only. */
export interface SettingsState {
  /** Newest settings applied in this process; null before the first. */
  inForce: SettingsSnapshot | null;
  /** Team by workspace, rebuilt when the tree changes. */
  teamByWorkspace: Map<string, string>;
  /** Team by token hash, rebuilt when the tree changes. */
  teamByTokenHash: Map<string, string>;
  projection: SettingsProjection;
  tail: SettingsTail;
  /** Proposals that await their verdict, by proposal id. */
  pendingProposals: Map<string, PendingProposal>;
  /** Part of the next append's id. */
  nextAppendNumber: number;
  /**
   * Epoch milliseconds at which the log stored the newest tree record or, without one, the first
   * record read; null before any record.
   */
  treeRecordWall: number | null;
  /** Id of the tree append in flight; null if none is. */
  treeAppendId: string | null;
  /** Monotonic time before which no tree is appended. */
  nextTreeAppendAt: number;
}
