import type { PendingProposal } from './PendingProposal.js';
import type { SettingsProjection } from './SettingsProjection.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';
import type { SettingsTail } from './SettingsTail.js';

/** Settings of a daemon; the fields after `teamByTokenHash` are used by recorders only. */
export interface SettingsState {
  /** Newest tree applied in this process; null until one is known. */
  inForce: SettingsSnapshot | null;
  /** Team of each workspace, rebuilt when the tree changes. */
  teamByWorkspace: Map<string, string>;
  /** Team of each token hash, rebuilt when the tree changes. */
  teamByTokenHash: Map<string, string>;
  projection: SettingsProjection;
  tail: SettingsTail;
  /** Proposals that wait for their verdict, by proposal id. */
  pendingProposals: Map<string, PendingProposal>;
  nextAppendNumber: number;
  /** Epoch milliseconds of the newest tree record, or of the oldest record without one. */
  treeRecordWall: number | null;
  /** Id of the tree append in flight, or null. */
  treeAppendId: string | null;
  nextTreeAppendAt: number;
}
