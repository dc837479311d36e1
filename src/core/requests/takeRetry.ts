import type { State } from '../State.js';

const retryShare = 0.1;
const minRetries = 3;

/** Takes one retry from the budget of the present window; false when it is spent. */
export const takeRetry = (state: State): boolean => {
  const { retryBudget: budget } = state.requests;
  if (budget.retries >= Math.max(minRetries, budget.requests * retryShare)) return false;
  budget.retries += 1;
  return true;
};
