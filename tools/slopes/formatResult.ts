import type { SeriesResult } from './SeriesResult.js';

const formatNumber = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** Formats one series as a Markdown row: points with their range, then the fit. */
export const formatResult = ({ name, axis, operation, points, fit }: SeriesResult): string => {
  const columns = points.map(({ size, value: { median, min, max } }) => {
    const spread = ((max - min) / Math.abs(median)) * 100;
    return `${size}: ${formatNumber(median)} (${spread.toFixed(0)}%)`;
  });
  const line = `${formatNumber(fit.intercept)} + ${fit.slope.toPrecision(3)} n`;
  const quality = `R² ${fit.r2.toFixed(3)}, exponent ${fit.exponent.toFixed(2)}`;
  return `| ${name} | ${operation} | ${axis} | ${columns.join('; ')} | ${line} | ${quality} |`;
};
