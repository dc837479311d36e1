// Half of the largest message, which leaves room for the envelope and for longer encodings.
const chunkBytes = 512 * 1024;

/** Splits items into chunks that fit into one message each; at least one, possibly empty, chunk. */
export const splitByBytes = <T>(items: readonly T[]): T[][] => {
  const chunks: T[][] = [[]];
  let size = 0;
  items.forEach((item) => {
    const bytes = JSON.stringify(item).length;
    if (size > 0 && size + bytes > chunkBytes) {
      chunks.push([]);
      size = 0;
    }
    chunks.at(-1)!.push(item);
    size += bytes;
  });
  return chunks;
};
