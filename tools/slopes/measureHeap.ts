import { computeFit } from './computeFit.js';
import { computeSpread } from '../bench/computeSpread.js';
import type { SeriesResult } from './SeriesResult.js';

const repetitions = 3;

// At module level, because the optimizer may drop a local variable that is not read again.
const retained: { state: unknown } = { state: null };

const measureUsedBytes = (): number => {
  // The second collection frees objects that waited for their finalizer in the first.
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

const measureStateBytes = (create: () => unknown): number => {
  retained.state = null;
  const before = measureUsedBytes();
  retained.state = create();
  return measureUsedBytes() - before;
};

/** Measures the heap that a state holds at each size; the process needs `--expose-gc`. */
export const measureHeap = (
  name: string,
  series: { axis: string; sizes: readonly number[]; create: (size: number) => unknown },
): SeriesResult => {
  const { axis, sizes, create } = series;
  // Warm-up: the first creation also allocates compiled code and hidden classes.
  create(sizes[0]!);
  const points = sizes.map((size) => ({
    size,
    value: computeSpread(
      Array.from({ length: repetitions }, () => measureStateBytes(() => create(size))),
    ),
  }));
  // The exponent is computed from logarithms, so values have to be positive.
  const fit = computeFit(points.map(({ size, value }) => [size, Math.max(1, value.median)]));
  return { name, axis, operation: 'heap', points, fit };
};
