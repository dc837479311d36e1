/** Limits a gateway's retries to a share of its requests. */
export interface RetryBudget {
  countRequest: (at: number) => void;
  /** Takes one retry from the budget; false if that of the current window is used up. */
  takeRetry: (at: number) => boolean;
}
