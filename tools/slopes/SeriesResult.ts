import type { Fit } from './Fit.js';
import type { Spread } from '../bench/Spread.js';

/** Points of one series, in microseconds for each operation or bytes for each item, and their fit. */
export interface SeriesResult {
  name: string;
  axis: string;
  operation: string;
  points: { size: number; value: Spread }[];
  fit: Fit;
}
