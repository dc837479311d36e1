/** Bounds the retries of a gateway by its requests. */
export interface RetryBudget {
  countRequest: (at: number) => void;
  /** Takes one retry; false when the budget of the window is spent. */
  takeRetry: (at: number) => boolean;
}
