import type { State } from '../State.js';

/** Counts a new request for the retry budget and starts a new window when the last one is over. */
export const countRequest = (state: State, at: number): void => {
  const { retryBudget } = state.requests;
  if (at - retryBudget.windowStartAt >= state.timing.retryWindowMs) {
    state.requests.retryBudget = { windowStartAt: at, requests: 1, retries: 0 };
  } else {
    retryBudget.requests += 1;
  }
};
