/** Where ours stands between the best baseline and the bound on one measure, from the medians. */
export interface BoundComparison {
  measure: string;
  bestBaseline: string;
  baseline: number;
  ours: number;
  bound: number;
  /** 0 at the best baseline, 1 at the bound, negative when ours is worse; null if both are equal. */
  share: number | null;
}
