// Half of the message size limit; the rest is for the envelope and for longer encodings.
const maxChunkBytes = 512 * 1024;

/** Splits items into chunks that fit into one message each; at least one chunk, possibly empty. */
export const splitByBytes = <T>(items: readonly T[]): T[][] => {
  const chunks: T[][] = [[]];
  let chunkSize = 0;
  items.forEach((item) => {
    const bytes = JSON.stringify(item).length;
    if (chunkSize > 0 && chunkSize + bytes > maxChunkBytes) {
      chunks.push([]);
      chunkSize = 0;
    }
    chunks.at(-1)!.push(item);
    chunkSize += bytes;
  });
  return chunks;
};
