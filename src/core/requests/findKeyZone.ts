import { hashText } from '../hashText.js';
import { getKeyId } from '../routing/getKeyId.js';
import type { State } from '../State.js';

/** Finds the home zone of an idempotency key; the same on every VM with the same settings. */
export const findKeyZone = (state: State, workspace: string, key: string): string | null => {
  const zones = Object.keys(state.settings.inForce?.tree.zones ?? {}).sort();
  return zones[hashText(getKeyId(workspace, key)) % zones.length] ?? null;
};
