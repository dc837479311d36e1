import type { SettingsSnapshot } from '../settings/SettingsSnapshot.js';
import type { Principal } from './Principal.js';

/** Builds a copy of a settings snapshot with only the parts that a principal may read. */
export const buildVisibleSnapshot = (
  principal: Principal,
  snapshot: SettingsSnapshot,
): SettingsSnapshot => {
  if (principal.kind === 'root') return snapshot;
  const { team } = principal;
  const settings = snapshot.tree.teams[team];
  const version = snapshot.subtreeVersions[`teams/${team}`];
  return {
    version: snapshot.version,
    subtreeVersions: version === undefined ? {} : { [`teams/${team}`]: version },
    tree: { zones: {}, teams: settings === undefined ? {} : { [team]: settings } },
  };
};
