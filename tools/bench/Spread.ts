/** Minimum, median and maximum of repeated measurements. */
export interface Spread {
  min: number;
  median: number;
  max: number;
}
