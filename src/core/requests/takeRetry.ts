import type { State } from '../State.js';

const maxRetryShare = 0.1;
const minRetriesPerWindow = 3;

/** Takes one retry from the budget of the present window; false when it is spent. */
export const takeRetry = (state: State): boolean => {
  const { retryBudget } = state.requests;
  if (retryBudget.retries >= Math.max(minRetriesPerWindow, retryBudget.requests * maxRetryShare))
    return false;
  retryBudget.retries += 1;
  return true;
};
