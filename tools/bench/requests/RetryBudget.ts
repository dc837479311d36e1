/** Limits a gateway's retries to a share of its requests. */
export interface RetryBudget {
  countRequest: (at: number) => void;
  /** Takes one retry from the budget; false if the budget of this window is used up. */
  takeRetry: (at: number) => boolean;
}
