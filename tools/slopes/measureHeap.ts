import { computeFit } from './computeFit.js';
import { computeSpread } from '../bench/computeSpread.js';
import type { SeriesResult } from './SeriesResult.js';

const repetitions = 3;

const measureBytes = (create: () => unknown): number => {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const held = [create()];
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  // The read keeps the state reachable until here.
  return held.length === 1 ? bytes : NaN;
};

/** Measures the heap that a state holds at each size; the process needs `--expose-gc`. */
export const measureHeap = (
  name: string,
  series: { axis: string; sizes: readonly number[]; create: (size: number) => unknown },
): SeriesResult => {
  const { axis, sizes, create } = series;
  // The first creation also allocates compiled code and maps of objects.
  create(sizes[0]!);
  const points = sizes.map((size) => ({
    size,
    value: computeSpread(
      Array.from({ length: repetitions }, () => measureBytes(() => create(size))),
    ),
  }));
  const fit = computeFit(points.map(({ size, value }) => [size, Math.max(1, value.median)]));
  return { name, axis, operation: 'heap', points, fit };
};
