/** A run that a worker lists as running. */
export interface ListedRun {
  task: string;
  run: number;
  checkpoint: string;
  /** Progress of its work. */
  percent: number;
}
