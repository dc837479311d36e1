import { err, ok, type Result } from 'neverthrow';
import { findConflict } from './findConflict.js';
import { hasFeasibleGuarantees } from './hasFeasibleGuarantees.js';
import { mergeSubtree } from './mergeSubtree.js';
import type { SettingsError } from './SettingsError.js';
import type { SettingsRecord } from './SettingsRecord.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';
import type { SettingsTree } from './SettingsTree.js';

type Checked = Result<SettingsTree, SettingsError>;

/** Checks a proposal against a snapshot and returns the resulting tree. */
export const checkProposal = (
  snapshot: SettingsSnapshot,
  proposal: Extract<SettingsRecord, { kind: 'proposal' }>,
): Checked => {
  const { path, expectedVersion, subtree } = proposal;
  const currentVersion = snapshot.subtreeVersions[path] ?? -1;
  if (expectedVersion !== currentVersion) {
    return err({ kind: 'staleVersion', expectedVersion, currentVersion });
  }
  return mergeSubtree(snapshot.tree, path, subtree).andThen((tree): Checked => {
    const conflict = findConflict(tree);
    if (conflict) return err(conflict);
    return hasFeasibleGuarantees(tree) ? ok(tree) : err({ kind: 'infeasibleGuarantee' });
  });
};
