/** When a job first ran and when its end was seen, in milliseconds; null until then. */
export interface JobTimes {
  startAt: number | null;
  endAt: number | null;
}
