import type { Fit } from './Fit.js';

type Point = readonly [size: number, value: number];

const computeMean = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const computeLine = (points: readonly Point[]): Omit<Fit, 'exponent'> => {
  const meanX = computeMean(points.map(([x]) => x));
  const meanY = computeMean(points.map(([, y]) => y));
  const sumXx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const sumXy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const totalSquares = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
  const slope = sumXy / sumXx;
  const intercept = meanY - slope * meanX;
  const residualSquares = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
  return { slope, intercept, r2: totalSquares === 0 ? 1 : 1 - residualSquares / totalSquares };
};

/** Fits a line by least squares; sizes and values must be positive and at least two sizes differ. */
export const computeFit = (points: readonly Point[]): Fit => ({
  ...computeLine(points),
  exponent: computeLine(points.map(([x, y]) => [Math.log(x), Math.log(y)])).slope,
});
