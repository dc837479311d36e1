/** Functions that execute effects, by effect type. */
export type RunnersOf<TEffect extends { type: string }> = {
  [T in TEffect['type']]?: (effect: Extract<TEffect, { type: T }>) => void;
};
