/** Position of policy `ours` between best baseline and bound, by the medians of one measure. */
export interface BoundComparison {
  measure: string;
  bestBaseline: string;
  baseline: number;
  ours: number;
  bound: number;
  /** 0 at the best baseline, 1 at the bound, negative if worse; null if these hardly differ. */
  share: number | null;
}
