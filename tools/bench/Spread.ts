/** Least, middle and greatest value over the seeds. */
export interface Spread {
  min: number;
  median: number;
  max: number;
}
