import type { LogState } from './LogState.js';

/** Takes one append from the rate limit; false above the limit. Allows a burst of one second. */
export const takeRateToken = (state: LogState, at: number): boolean => {
  if (state.appendsPerSecond === 0) return true;
  const earned = ((at - state.tokensUpdatedAt) / 1000) * state.appendsPerSecond;
  state.tokens = Math.min(state.tokens + earned, state.appendsPerSecond);
  state.tokensUpdatedAt = at;
  if (state.tokens < 1) return false;
  state.tokens -= 1;
  return true;
};
