import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { createHttpClient } from '../../platform/createHttpClient.js';

const timeoutMs = 300;
const chunkIntervalMs = 100;
const chunkCount = 8;

let server: Server | null = null;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

const serve = async (listener: RequestListener): Promise<string> => {
  server = createServer(listener);
  const startedServer = server;
  await new Promise<void>((resolve) => {
    startedServer.listen(0, '127.0.0.1', () => resolve());
  });
  return `127.0.0.1:${(startedServer.address() as AddressInfo).port}`;
};

const sendChunks =
  (count: number): RequestListener =>
  (_request, response) => {
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      response.write('x'.repeat(1000));
      if (sent < count) return;
      clearInterval(timer);
      // A response with fewer chunks stalls instead of ending.
      if (count === chunkCount) response.end();
    }, chunkIntervalMs);
  };

// Guards against a VM with a slow link that can never read a long stream, because each page takes
// longer than the timeout.
test('slow response is read to its end', async () => {
  const address = await serve(sendChunks(chunkCount));
  const response = await createHttpClient(1).send({ method: 'GET', address, path: '/', timeoutMs });
  expect(response.isOk() && response.value.body.length).toBe(chunkCount * 1000);
});

// Guards against an endless wait when a connection stalls in the middle of a response.
test('stalled response times out', async () => {
  const address = await serve(sendChunks(2));
  const startedAt = performance.now();
  const response = await createHttpClient(1).send({ method: 'GET', address, path: '/', timeoutMs });
  expect(response.isErr() && response.error).toBe('unanswered');
  expect(performance.now() - startedAt).toBeLessThan(2 * chunkIntervalMs + timeoutMs + 1000);
});
