// Sizes by magnitude in MessagePack.
const sizes = [
  { below: 0x80, bytes: 1 },
  { below: 0x100, bytes: 2 },
  { below: 0x1_0000, bytes: 3 },
  { below: 0x1_0000_0000, bytes: 5 },
];
const largestBytes = 9;

/** Computes the most bytes that a non-negative number takes in a stored record. */
export const measureNumberBytes = (value: number): number =>
  Number.isInteger(value)
    ? (sizes.find(({ below }) => value < below)?.bytes ?? largestBytes)
    : largestBytes;
