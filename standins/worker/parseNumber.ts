/** Reads a number that a short request carries as a query parameter or a header. */
export const parseNumber = (
  read: (name: string) => string | undefined,
  name: string,
  fallback: number,
): number => {
  const value = Number(read(name) ?? fallback);
  return Number.isFinite(value) && value >= 0 ? value : fallback;
};
