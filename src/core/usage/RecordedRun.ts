/** Times of one task that this process has recorded, in epoch milliseconds. */
export interface RecordedRun {
  taskId: string;
  startedWall: number;
  /** Null before an end is recorded. */
  endedWall: number | null;
  /** Intervals in which it is not known whether the task ran. */
  unknownIntervals: { fromWall: number; toWall: number }[];
}
