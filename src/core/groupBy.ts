/** Groups items by key; keys and items keep the order of their first and own occurrence. */
export const groupBy = <T>(items: Iterable<T>, keyOf: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group) group.push(item);
    else groups.set(keyOf(item), [item]);
  }
  return groups;
};
