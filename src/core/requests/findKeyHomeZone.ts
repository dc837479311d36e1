import { hashText } from '../hashText.js';
import { buildKeyId } from '../routing/buildKeyId.js';
import type { State } from '../State.js';

/**
 * Finds the zone whose lead decides on an idempotency key; the same on every VM with equal
 * settings. Null if the settings contain no zone.
 */
export const findKeyHomeZone = (state: State, workspace: string, key: string): string | null => {
  const zones = Object.keys(state.settings.inForce?.tree.zones ?? {}).sort();
  return zones[hashText(buildKeyId(workspace, key)) % zones.length] ?? null;
};
