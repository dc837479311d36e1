/** An estimate of a quantity that is observed with noise. */
export interface Estimate {
  mean: number;
  variance: number;
}
