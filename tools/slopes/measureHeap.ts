import { computeFit } from './computeFit.js';
import { computeSpread } from '../bench/computeSpread.js';
import type { SeriesResult } from './SeriesResult.js';

const repetitions = 3;

// Outside the function, because the optimizer may drop a local variable that is not read again.
const held: { state: unknown } = { state: null };

const measureUsed = (): number => {
  // Objects that wait for a finalizer are freed by the second collection.
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

const measureBytes = (create: () => unknown): number => {
  held.state = null;
  const before = measureUsed();
  held.state = create();
  return measureUsed() - before;
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
