import type { State } from '../State.js';

/** Deletes the key of a request that certainly was not run, so that the key may be used again. */
export const freeKey = (state: State, keyId: string, requestId: string): void => {
  if (state.routing.keys.get(keyId)?.requestId !== requestId) return;
  state.routing.keys.delete(keyId);
  state.replication.changedKeys.delete(keyId);
  state.replication.freedKeys.add(keyId);
};
