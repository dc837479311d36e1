import type { SettingsSnapshot } from '../../src/core/settings/SettingsSnapshot.js';
import { createTree } from './createTree.js';
import { targetSize } from './targetSize.js';
import type { TreeSize } from './TreeSize.js';

/** Creates the snapshot of the target's tree, with other sizes where given. */
export const createSnapshot = (size: Partial<TreeSize> = {}): SettingsSnapshot => {
  const { zones, workers, teams, workspacesPerTeam } = targetSize;
  const tree = createTree({ zones, workers, teams, workspacesPerTeam, ...size });
  const paths = Object.keys(tree.teams).map((team) => [`teams/${team}`, 1]);
  return { version: 1, subtreeVersions: Object.fromEntries([['zones', 1], ...paths]), tree };
};
