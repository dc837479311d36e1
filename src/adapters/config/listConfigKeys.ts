import { formatFieldPath } from './formatFieldPath.js';
import { listConfigFields } from './listConfigFields.js';

/** Lists the keys that are allowed in the table at a path. */
export const listConfigKeys = (path: readonly PropertyKey[]): string[] => {
  const prefix = formatFieldPath(path);
  const start = prefix === '' ? '' : `${prefix}.`;
  const keys = listConfigFields()
    .filter((field) => field.path.startsWith(start))
    .map((field) => field.path.slice(start.length).split(/[.[]/)[0] ?? '');
  return [...new Set(keys)];
};
