/** Throws unless a statement of the demo holds. */
export const assertCondition = (holds: boolean, statement: string): void => {
  if (!holds) throw new Error(`did not hold: ${statement}`);
};
