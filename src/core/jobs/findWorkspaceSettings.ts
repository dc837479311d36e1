import type { WorkspaceSettings } from '../settings/WorkspaceSettings.js';
import type { State } from '../State.js';

/** Finds the settings of a workspace; null if it does not exist. */
export const findWorkspaceSettings = (
  state: State,
  workspace: string,
): WorkspaceSettings | null => {
  const team = state.settings.teamByWorkspace.get(workspace);
  return state.settings.inForce?.tree.teams[team ?? '']?.workspaces[workspace] ?? null;
};
