import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { SettingsSnapshot } from './SettingsSnapshot.js';

/**
 * Applies settings that are newer than those in force; others change nothing. The empty tree of an
 * empty log is applied too, because it shows that nothing was registered before.
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
