import { hashText } from '../hashText.js';
import type { State } from '../State.js';

/**
 * Finds the zone for a job that was submitted without one: the first by name in which the workspace
 * has a guarantee, else a zone selected by the hash of the workspace's name. The result is the same
 * on every VM, so that a repeated submission reaches the same zone.
 */
export const findJobZone = (state: State, workspace: string): string => {
  const tree = state.settings.inForce?.tree;
  const team = state.settings.teamByWorkspace.get(workspace) ?? '';
  const guarantees = tree?.teams[team]?.workspaces[workspace]?.guarantees ?? [];
  const guaranteedZone = guarantees.map((shape) => shape.zone).sort()[0];
  const zones = Object.keys(tree?.zones ?? {}).sort();
  return guaranteedZone ?? zones[hashText(workspace) % zones.length] ?? state.self.zone;
};
