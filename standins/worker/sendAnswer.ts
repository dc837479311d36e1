import type { ServerResponse } from 'node:http';
import { pipeline, Readable } from 'node:stream';
import type { WorkerEffect } from './WorkerEffect.js';
import { listChunks } from './listChunks.js';

/** Streams the answer to a short request, or only its first half if it is to be truncated. */
export const sendAnswer = (
  outgoing: ServerResponse,
  effect: Extract<WorkerEffect, { type: 'answerShortRequest' }>,
): void => {
  const { echo, pad, answerBytes, status, truncate } = effect;
  let totalBytes = 0;
  [...listChunks(echo, pad, answerBytes)].forEach((chunk) => {
    totalBytes += chunk.length;
  });
  outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': totalBytes });
  if (truncate) {
    const half = Buffer.concat([...listChunks(echo, pad, answerBytes)], Math.floor(totalBytes / 2));
    outgoing.write(half, () => outgoing.destroy());
    return;
  }
  // A caller that disconnected is reported by the `close` event of the response.
  pipeline(Readable.from(listChunks(echo, pad, answerBytes)), outgoing, () => {});
};
