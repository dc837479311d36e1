import type { State } from '../State.js';

/** Tells whether this daemon is shutting down; every answer then closes its connection. */
export const isDraining = (state: State): boolean => state.membership.drainingSince !== null;
