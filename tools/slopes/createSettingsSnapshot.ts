import type { SettingsSnapshot } from '../../src/core/settings/SettingsSnapshot.js';
import { createSettingsTree } from './createSettingsTree.js';
import { targetSize } from './targetSize.js';
import type { SettingsTreeSize } from './SettingsTreeSize.js';

/** Creates a settings snapshot of the target size, with other sizes where given. */
export const createSettingsSnapshot = (size: Partial<SettingsTreeSize> = {}): SettingsSnapshot => {
  const { zones, workers, teams, workspacesPerTeam } = targetSize;
  const tree = createSettingsTree({ zones, workers, teams, workspacesPerTeam, ...size });
  const paths = Object.keys(tree.teams).map((team) => [`teams/${team}`, 1]);
  return { version: 1, subtreeVersions: Object.fromEntries([['zones', 1], ...paths]), tree };
};
