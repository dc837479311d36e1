/** Functions that execute effects, by effect type. */
export type EffectRunners<F extends { type: string }> = {
  readonly [T in F['type']]: (effect: Extract<F, { type: T }>) => void;
};
