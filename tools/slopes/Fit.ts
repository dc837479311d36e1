/** Line fitted to measured points, and the exponent of their growth. */
export interface Fit {
  /** Change of the value per unit of the size. */
  slope: number;
  /** Value at size 0. */
  intercept: number;
  /** Share of the variance that the line explains. */
  r2: number;
  /** Slope of log(value) over log(size): 0 is constant, 1 linear, 2 quadratic. */
  exponent: number;
}
