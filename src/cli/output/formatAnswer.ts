import { buildRecordTable } from './buildRecordTable.js';
import { formatTable } from './formatTable.js';

const isRecordList = (value: unknown): value is object[] =>
  Array.isArray(value) &&
  value.length > 0 &&
  value.every((element) => typeof element === 'object' && element !== null);

/** Formats any JSON answer; lists of objects inside an object become tables of their own. */
export const formatAnswer = (data: unknown): string => {
  if (typeof data !== 'object' || data === null || Array.isArray(data)) {
    return formatTable(buildRecordTable(data));
  }
  const fields = Object.entries(data);
  const own = fields.filter(([, value]) => !isRecordList(value));
  const lists = fields.filter(([, value]) => isRecordList(value));
  return [
    formatTable(buildRecordTable(Object.fromEntries(own))),
    ...lists.map(([name, value]) => `${name}:\n${formatTable(buildRecordTable(value))}`),
  ].join('\n\n');
};
