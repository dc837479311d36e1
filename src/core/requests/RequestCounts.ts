/** Usage of one workspace's short requests in one interval. */
export interface RequestCounts {
  answered: number;
  failed: number;
  unknown: number;
  busyMs: number;
}
