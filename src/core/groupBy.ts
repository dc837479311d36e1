/** Groups items by key; groups are in order of their first item, and items keep their order. */
export const groupBy = <T>(items: Iterable<T>, keyOf: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group) group.push(item);
    else groups.set(keyOf(item), [item]);
  }
  return groups;
};
