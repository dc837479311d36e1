// Half of the message size limit; the rest is for the envelope and for longer encodings.
const maxChunkBytes = 512 * 1024;

/** Splits items into chunks that fit into one message each; at least one chunk, possibly empty. */
export const splitByBytes = <T>(items: readonly T[]): T[][] => {
  const chunks: T[][] = [[]];
  let chunkBytes = 0;
  items.forEach((item) => {
    const itemBytes = JSON.stringify(item).length;
    if (chunkBytes > 0 && chunkBytes + itemBytes > maxChunkBytes) {
      chunks.push([]);
      chunkBytes = 0;
    }
    chunks.at(-1)!.push(item);
    chunkBytes += itemBytes;
  });
  return chunks;
};
