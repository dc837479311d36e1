/** A repeatable source of numbers from 0 to 1. */
export const createRandom = (seed: number): (() => number) => {
  let state = (seed * 2_654_435_761) % 4_294_967_296 || 1;
  return () => {
    // Marsaglia's xorshift on 32 bits.
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    return (state >>> 0) / 4_294_967_296;
  };
};
