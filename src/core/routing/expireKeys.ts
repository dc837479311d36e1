import type { State } from '../State.js';

/** Deletes idempotency keys after their retention; keys are in order of use, oldest first. */
export const expireKeys = (state: State, at: number): void => {
  const { keys } = state.routing;
  for (const [id, key] of keys) {
    if (key.forgetAt > at) break;
    keys.delete(id);
  }
};
