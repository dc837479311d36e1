// Sizes by magnitude in MessagePack, for texts and lists.
const sizes = [
  { below: 0x10, bytes: 1 },
  { below: 0x1_0000, bytes: 3 },
];
const largestBytes = 5;

/** Computes the most bytes that the length of a text or list takes in a stored record. */
export const measureLengthBytes = (length: number): number =>
  sizes.find(({ below }) => length < below)?.bytes ?? largestBytes;
