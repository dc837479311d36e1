/** What this process has recorded of one task. */
export interface RecordedRun {
  taskId: string;
  startedWall: number;
  endedWall: number | null;
  unknownIntervals: { fromWall: number; toWall: number }[];
}
