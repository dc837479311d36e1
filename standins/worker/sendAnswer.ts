import type { ServerResponse } from 'node:http';
import { pipeline, Readable } from 'node:stream';
import type { WorkerEffect } from './WorkerEffect.js';
import { listChunks } from './listChunks.js';

/** Streams the answer of a short request, or only the first half of it. */
export const sendAnswer = (
  outgoing: ServerResponse,
  effect: Extract<WorkerEffect, { type: 'serveRequest' }>,
): void => {
  const { echo, pad, answerBytes, status, truncate } = effect;
  let length = 0;
  [...listChunks(echo, pad, answerBytes)].forEach((chunk) => {
    length += chunk.length;
  });
  outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': length });
  if (truncate) {
    const half = Buffer.concat([...listChunks(echo, pad, answerBytes)], Math.floor(length / 2));
    outgoing.write(half, () => outgoing.destroy());
    return;
  }
  // A caller that left is reported by the `close` event of the response.
  pipeline(Readable.from(listChunks(echo, pad, answerBytes)), outgoing, () => {});
};
