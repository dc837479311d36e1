import { formatFieldPath } from './formatFieldPath.js';
import { listConfigFields } from './listConfigFields.js';

/** Lists the keys that are allowed in the table at a path. */
export const listConfigKeys = (path: readonly PropertyKey[]): string[] => {
  const tablePath = formatFieldPath(path);
  const fieldPrefix = tablePath === '' ? '' : `${tablePath}.`;
  const keys = listConfigFields()
    .filter((field) => field.path.startsWith(fieldPrefix))
    .map((field) => field.path.slice(fieldPrefix.length).split(/[.[]/)[0] ?? '');
  return [...new Set(keys)];
};
