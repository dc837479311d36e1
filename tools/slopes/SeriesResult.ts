import type { Fit } from './Fit.js';
import type { Spread } from '../bench/Spread.js';

/** Points of one series, in microseconds per operation or bytes of heap, and their fit. */
export interface SeriesResult {
  name: string;
  axis: string;
  operation: string;
  points: { size: number; value: Spread }[];
  fit: Fit;
}
