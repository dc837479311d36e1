/** Bounds the retries of a gateway by its requests. */
export interface RetryBudget {
  count: (at: number) => void;
  /** Takes one retry; false when the budget of the window is spent. */
  spend: (at: number) => boolean;
}
