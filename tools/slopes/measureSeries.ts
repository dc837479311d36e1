import { computeFit } from './computeFit.js';
import { computeSpread } from '../bench/computeSpread.js';
import type { Series } from './Series.js';
import type { SeriesResult } from './SeriesResult.js';
import type { Workload } from './Workload.js';

const repetitions = 5;
// Long enough that the clock resolution and a minor garbage collection hardly matter.
const minRepetitionMs = 10;
// Lets the optimizing compiler finish before the first measured repetition.
const warmUpMs = 60;
// Limits the repetitions whose `prepare` takes much longer than the measured run.
const maxRepetitionMs = 150;

const measureRuns = ({ prepare, run, operations }: Workload, minMs: number): number => {
  let elapsedMs = 0;
  let runs = 0;
  const deadline = performance.now() + maxRepetitionMs;
  while (elapsedMs < minMs && (runs === 0 || performance.now() < deadline)) {
    prepare?.();
    const start = performance.now();
    run();
    elapsedMs += performance.now() - start;
    runs += 1;
  }
  return (elapsedMs * 1000) / (runs * operations);
};

const measurePoint = (series: Series, size: number): SeriesResult['points'][number] => {
  const workload = series.create(size);
  measureRuns(workload, warmUpMs);
  globalThis.gc?.();
  const values = Array.from({ length: repetitions }, () => measureRuns(workload, minRepetitionMs));
  return { size, value: computeSpread(values) };
};

/** Measures the microseconds per operation at each size of a series. */
export const measureSeries = (name: string, series: Series): SeriesResult => {
  const points = series.sizes.map((size) => measurePoint(series, size));
  const { axis, operation } = series;
  const fit = computeFit(points.map(({ size, value }) => [size, value.median]));
  return { name, axis, operation, points, fit };
};
