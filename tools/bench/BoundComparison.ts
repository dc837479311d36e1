/** Position of policy `ours` between the best baseline and the bound, by medians of one measure. */
export interface BoundComparison {
  measure: string;
  bestBaseline: string;
  baseline: number;
  ours: number;
  bound: number;
  /** 0 at the best baseline, 1 at the bound, negative if worse; null if baseline and bound hardly differ. */
  share: number | null;
}
