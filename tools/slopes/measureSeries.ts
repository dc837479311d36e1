import { computeFit } from './computeFit.js';
import { computeSpread } from '../bench/computeSpread.js';
import type { Series } from './Series.js';
import type { SeriesResult } from './SeriesResult.js';
import type { Workload } from './Workload.js';

const repetitions = 5;
// Long enough to make the clock's resolution and a single minor collection unimportant.
const minRepetitionMs = 10;
// Lets the optimizing compiler finish before the first measured repetition.
const warmUpMs = 60;
// Restoring the state may take much longer than the run that is measured.
const maxRepetitionMs = 150;

const measureRuns = ({ prepare, run, operations }: Workload, minMs: number): number => {
  let elapsedMs = 0;
  let runs = 0;
  const end = performance.now() + maxRepetitionMs;
  while (elapsedMs < minMs && (runs === 0 || performance.now() < end)) {
    prepare?.();
    const start = performance.now();
    run();
    elapsedMs += performance.now() - start;
    runs += 1;
  }
  return (elapsedMs * 1000) / (runs * operations);
};

const measurePoint = (series: Series, size: number): SeriesResult['points'][number] => {
  const subject = series.create(size);
  measureRuns(subject, warmUpMs);
  globalThis.gc?.();
  const values = Array.from({ length: repetitions }, () => measureRuns(subject, minRepetitionMs));
  return { size, value: computeSpread(values) };
};

/** Measures the microseconds of one operation at each size of a series. */
export const measureSeries = (name: string, series: Series): SeriesResult => {
  const points = series.sizes.map((size) => measurePoint(series, size));
  const { axis, operation } = series;
  const fit = computeFit(points.map(({ size, value }) => [size, value.median]));
  return { name, axis, operation, points, fit };
};
