import type { RetryBudget } from './RetryBudget.js';

// Same as the gateway's retry budget: 10% of the requests of a 10 s window, at least 3.
const retryWindowMs = 10_000;
const retryShare = 0.1;
const minRetries = 3;

/** Creates the retry budget of one gateway. */
export const createRetryBudget = (): RetryBudget => {
  let window = { from: 0, requests: 0, retries: 0 };
  const advanceWindow = (at: number): void => {
    if (at >= window.from + retryWindowMs) window = { from: at, requests: 0, retries: 0 };
  };
  return {
    countRequest: (at) => {
      advanceWindow(at);
      window.requests += 1;
    },
    takeRetry: (at) => {
      advanceWindow(at);
      if (window.retries >= Math.max(minRetries, window.requests * retryShare)) return false;
      window.retries += 1;
      return true;
    },
  };
};
