// Sizes of the length by magnitude in MessagePack.
const sizes = [
  { below: 0x20, bytes: 1 },
  { below: 0x100, bytes: 2 },
  { below: 0x1_0000, bytes: 3 },
];
const largestBytes = 5;

/** Computes the bytes that a text takes in a stored record, with its length. */
export const measureTextBytes = (text: string): number => {
  const textBytes = Buffer.byteLength(text);
  return textBytes + (sizes.find(({ below }) => textBytes < below)?.bytes ?? largestBytes);
};
