import type { Effect } from '../core/Effect.js';

/** Runners of one adapter, by effect type; the loop merges the tables of all adapters. */
export type EffectRunners = {
  readonly [T in Effect['type']]?: (effect: Extract<Effect, { type: T }>) => void;
};
