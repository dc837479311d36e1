import type { SettingsTree } from './SettingsTree.js';
import type { SubtreePath } from './SubtreePath.js';

/** A settings tree with its versions, which are log offsets. */
export interface SettingsSnapshot {
  /** Offset of the newest accepted record; -1 before the first. */
  version: number;
  /** Offset of the newest accepted record of each subtree. */
  subtreeVersions: Partial<Record<SubtreePath, number>>;
  tree: SettingsTree;
}
