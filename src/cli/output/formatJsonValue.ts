import { buildRecordTable } from './buildRecordTable.js';
import { formatTable } from './formatTable.js';

const isRecordList = (value: unknown): value is object[] =>
  Array.isArray(value) &&
  value.length > 0 &&
  value.every((element) => typeof element === 'object' && element !== null);

/** Formats any JSON value; arrays of objects inside an object become separate tables. */
export const formatJsonValue = (data: unknown): string => {
  if (typeof data !== 'object' || data === null || Array.isArray(data)) {
    return formatTable(buildRecordTable(data));
  }
  const fields = Object.entries(data);
  const plainFields = fields.filter(([, value]) => !isRecordList(value));
  const recordLists = fields.filter(([, value]) => isRecordList(value));
  return [
    formatTable(buildRecordTable(Object.fromEntries(plainFields))),
    ...recordLists.map(([name, value]) => `${name}:\n${formatTable(buildRecordTable(value))}`),
  ].join('\n\n');
};
