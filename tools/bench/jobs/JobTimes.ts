/** Times of a job's first start and of its observed end, in milliseconds; null until then. */
export interface JobTimes {
  startAt: number | null;
  endAt: number | null;
}
