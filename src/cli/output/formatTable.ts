import type { Table } from './Table.js';

/** Formats a table with aligned columns; without rows it is `(none)`. */
export const formatTable = ({ columns, rows }: Table): string => {
  if (rows.length === 0) return '(none)';
  const lines = [columns.map((name) => name.toUpperCase()), ...rows];
  const widths = columns.map((_name, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};
