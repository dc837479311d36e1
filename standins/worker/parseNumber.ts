/** Parses a non-negative number from a query parameter or header of a short request. */
export const parseNumber = (
  read: (name: string) => string | undefined,
  name: string,
  fallback: number,
): number => {
  const value = Number(read(name) ?? fallback);
  return Number.isFinite(value) && value >= 0 ? value : fallback;
};
