const chunkBytes = 65_536;

/**
 * Lists the chunks of a short request's answer: the echo as JSON, padded to the wanted size by a
 * field that repeats `pad`, so that bytes of another request's answer can be told apart.
 */
export function* listChunks(
  echo: Record<string, unknown>,
  pad: string,
  wantedBytes: number,
): Generator<Buffer> {
  const plain = JSON.stringify(echo);
  const head = `${plain.slice(0, -1)},"pad":"`;
  const tail = '"}';
  let left = wantedBytes - Buffer.byteLength(head) - tail.length;
  if (left <= 0) {
    yield Buffer.from(plain);
    return;
  }
  yield Buffer.from(head);
  const block = Buffer.from(pad.repeat(Math.ceil(chunkBytes / pad.length)));
  for (; left > 0; left -= block.length) yield block.subarray(0, Math.min(left, block.length));
  yield Buffer.from(tail);
}
