import type { LogState } from './LogState.js';

/** Takes a token for one append; false if none is left. The bucket holds the tokens of 1 s. */
export const takeRateToken = (state: LogState, at: number): boolean => {
  if (state.appendsPerSecond === 0) return true;
  const refill = ((at - state.tokensUpdatedAt) / 1000) * state.appendsPerSecond;
  state.tokens = Math.min(state.tokens + refill, state.appendsPerSecond);
  state.tokensUpdatedAt = at;
  if (state.tokens < 1) return false;
  state.tokens -= 1;
  return true;
};
