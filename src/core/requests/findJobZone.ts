import { hashText } from '../hashText.js';
import type { State } from '../State.js';

/**
 * Finds the zone for a job that names none: the first in which its workspace has a guarantee, else
 * one chosen by the workspace's name. A repeated submission finds the same zone on every VM.
 */
export const findJobZone = (state: State, workspace: string): string => {
  const tree = state.settings.inForce?.tree;
  const team = state.settings.teamByWorkspace.get(workspace) ?? '';
  const guarantees = tree?.teams[team]?.workspaces[workspace]?.guarantees ?? [];
  const guaranteedZone = guarantees.map((shape) => shape.zone).sort()[0];
  const zones = Object.keys(tree?.zones ?? {}).sort();
  return guaranteedZone ?? zones[hashText(workspace) % zones.length] ?? state.self.zone;
};
