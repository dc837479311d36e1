/** Counts the occurrences of each name. */
export const countBy = (names: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};
