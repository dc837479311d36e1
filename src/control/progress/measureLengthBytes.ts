/** Computes the most bytes that the length of a list takes in a stored record, which is in MessagePack. */
export const measureLengthBytes = (length: number): number => {
  if (length < 0x10) return 1;
  return length < 0x1_0000 ? 3 : 5;
};
