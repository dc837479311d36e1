/** Throws with the description of a condition that is false. */
export const assertCondition = (condition: boolean, description: string): void => {
  if (!condition) throw new Error(`check failed: ${description}`);
};
