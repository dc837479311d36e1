/** Computes the most bytes that a non-negative number takes in a stored record, which is in MessagePack. */
export const measureNumberBytes = (value: number): number => {
  if (!Number.isInteger(value) || value >= 0x1_0000_0000) return 9;
  if (value < 0x80) return 1;
  if (value < 0x100) return 2;
  return value < 0x1_0000 ? 3 : 5;
};
