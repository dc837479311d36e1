import type { BoundComparison } from './BoundComparison.js';
import type { ExperimentResult } from './ExperimentResult.js';
import type { Spread } from './Spread.js';

const formatNumber = (value: number): string => {
  if (Number.isInteger(value)) return String(value);
  if (Math.abs(value) < 10) return value.toFixed(3);
  return value.toFixed(Math.abs(value) < 100 ? 1 : 0);
};

const formatSpread = ({ min, median, max }: Spread): string =>
  min === max
    ? formatNumber(median)
    : `${formatNumber(median)} (${formatNumber(min)}–${formatNumber(max)})`;

const formatRow = (cells: string[]): string => `| ${cells.join(' | ')} |`;

const formatTable = (head: string[], rows: string[][]): string =>
  [formatRow(head), formatRow(head.map(() => '---')), ...rows.map(formatRow)].join('\n');

/** Formats a result as Markdown tables: median (min–max) over the seeds, then the comparison. */
export const formatResult = (result: ExperimentResult, comparisons: BoundComparison[]): string => {
  const policies = Object.keys(result);
  const measures = Object.keys(result[policies[0]!]!);
  const table = formatTable(
    ['measure', ...policies],
    measures.map((name) => [
      name,
      ...policies.map((policy) => formatSpread(result[policy]![name]!)),
    ]),
  );
  if (comparisons.length === 0) return table;
  const comparisonTable = formatTable(
    ['measure', 'best baseline', 'baseline', 'ours', 'bound', 'share of the way to the bound'],
    comparisons.map(({ measure, bestBaseline, baseline, ours, bound, share }) => [
      measure,
      bestBaseline,
      ...[baseline, ours, bound].map(formatNumber),
      share === null ? 'no distance' : `${Math.round(share * 100)}%`,
    ]),
  );
  return `${table}\n\n${comparisonTable}`;
};
