import type { State } from '../State.js';

/** Tells whether this daemon is shutting down; its answers then close their connections. */
export const isDraining = (state: State): boolean => state.membership.drainingSince !== null;
