import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';

/**
 * Puts a tree in force if it is newer than the present one; an older tree changes nothing. The empty
 * tree of an empty log counts, as it tells that nothing was registered before.
 */
export const applySnapshot = (state: State, snapshot: SettingsSnapshot): Effect[] => {
  const { settings } = state;
  if (settings.inForce && snapshot.version <= settings.inForce.version) return [];
  settings.inForce = snapshot;
  settings.teamByWorkspace = new Map();
  settings.teamByTokenHash = new Map();
  Object.entries(snapshot.tree.teams).forEach(([team, { workspaces, tokenHashes }]) => {
    Object.keys(workspaces).forEach((name) => settings.teamByWorkspace.set(name, team));
    tokenHashes.forEach((hash) => settings.teamByTokenHash.set(hash, team));
  });
  return [
    { type: 'emit', event: { type: 'settingsChanged', snapshot } },
    { type: 'gauge', name: 'settings_version', value: snapshot.version },
  ];
};
