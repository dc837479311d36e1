const chunkBytes = 65_536;

/**
 * Lists the chunks of a short request's answer: the echo as JSON, padded to `totalBytes` by a field
 * that repeats `pad`, so that bytes from the answer to another request can be recognised.
 */
export function* listChunks(
  echo: Record<string, unknown>,
  pad: string,
  totalBytes: number,
): Generator<Buffer> {
  const plain = JSON.stringify(echo);
  const head = `${plain.slice(0, -1)},"pad":"`;
  const tail = '"}';
  let unsent = totalBytes - Buffer.byteLength(head) - tail.length;
  if (unsent <= 0) {
    yield Buffer.from(plain);
    return;
  }
  yield Buffer.from(head);
  const block = Buffer.from(pad.repeat(Math.ceil(chunkBytes / pad.length)));
  for (; unsent > 0; unsent -= block.length)
    yield block.subarray(0, Math.min(unsent, block.length));
  yield Buffer.from(tail);
}
