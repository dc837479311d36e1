/** Formats the path of a value as the path of its field: `['vm', 0, 'host']` is `vm[].host`. */
export const formatFieldPath = (path: readonly PropertyKey[]): string =>
  path
    .map((key) => (typeof key === 'number' ? '[]' : `.${String(key)}`))
    .join('')
    .slice(1);
