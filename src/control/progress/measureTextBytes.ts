const maxOneByteCode = 0x7f;

/** Counts the bytes of a text in UTF-8; the loop is faster than a call of a library for short texts, which most are. */
const countTextBytes = (text: string): number => {
  for (let index = 0; index < text.length; index += 1) {
    if (text.charCodeAt(index) > maxOneByteCode) return Buffer.byteLength(text);
  }
  return text.length;
};

/** Computes the bytes that a text takes in a stored record, which is in MessagePack, with its length. */
export const measureTextBytes = (text: string): number => {
  const bytes = countTextBytes(text);
  if (bytes < 0x20) return bytes + 1;
  if (bytes < 0x100) return bytes + 2;
  return bytes < 0x1_0000 ? bytes + 3 : bytes + 5;
};
