/** Creates a seeded random number generator for [0, 1) (mulberry32). */
export const createRandom = (seed: number): (() => number) => {
  let state = Math.imul(seed, 0x9e3779b1);
  /* eslint-disable no-bitwise -- mulberry32 is defined on bits. */
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
  /* eslint-enable no-bitwise */
};
