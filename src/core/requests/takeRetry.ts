import type { State } from '../State.js';

// Retries per request of the window; limits the load that retries add when workers fail.
const maxRetryShare = 0.1;
// Lets a gateway with few requests retry at all.
const minRetriesPerWindow = 3;

/** Takes one retry from the budget of the current window; false if none is left. */
export const takeRetry = (state: State): boolean => {
  const { retryBudget } = state.requests;
  if (retryBudget.retries >= Math.max(minRetriesPerWindow, retryBudget.requests * maxRetryShare))
    return false;
  retryBudget.retries += 1;
  return true;
};
