import { formatCell } from './formatCell.js';
import type { Table } from './Table.js';

type JsonRecord = Readonly<Record<string, unknown>>;

const isRecord = (value: unknown): value is JsonRecord =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Builds a table from any JSON value: a row per element of an array, or per field of an object. */
export const buildRecordTable = (data: unknown): Table => {
  const records = Array.isArray(data) ? data.filter(isRecord) : undefined;
  if (records) {
    const columns = [...new Set(records.flatMap((record) => Object.keys(record)))];
    return {
      columns,
      rows: records.map((record) => columns.map((name) => formatCell(record[name]))),
    };
  }
  const fields = isRecord(data) ? Object.entries(data) : [['value', data] as const];
  return {
    columns: ['field', 'value'],
    rows: fields.map(([name, value]) => [formatCell(name), formatCell(value)]),
  };
};
