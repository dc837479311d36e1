import type { World } from '../world/World.js';

/** Judges what was seen so far; returns what is wrong, or null. */
export type Property = (world: World) => string | null;
