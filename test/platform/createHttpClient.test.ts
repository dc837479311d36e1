import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { createHttpClient } from '../../platform/createHttpClient.js';

const timeoutMs = 300;
const partEveryMs = 100;
const parts = 8;

let server: Server | null = null;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

const serve = async (listener: RequestListener): Promise<string> => {
  server = createServer(listener);
  const open = server;
  await new Promise<void>((resolve) => {
    open.listen(0, '127.0.0.1', () => resolve());
  });
  return `127.0.0.1:${(open.address() as AddressInfo).port}`;
};

const sendParts =
  (count: number): RequestListener =>
  (_request, response) => {
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      response.write('x'.repeat(1000));
      if (sent < count) return;
      clearInterval(timer);
      if (count === parts) response.end();
    }, partEveryMs);
  };

// Guards against a VM with a narrow link that never gets through the pages of a long stream, because
// each page takes longer than a silent connection is waited for.
test('a long answer that keeps coming is read to its end', async () => {
  const address = await serve(sendParts(parts));
  const answer = await createHttpClient(1).send({ method: 'GET', address, path: '/', timeoutMs });
  expect(answer.isOk() && answer.value.body.length).toBe(parts * 1000);
});

// Guards against a connection that goes silent in the middle of an answer and is waited for.
test('an answer that stops coming is given up', async () => {
  const address = await serve(sendParts(2));
  const startedAt = performance.now();
  const answer = await createHttpClient(1).send({ method: 'GET', address, path: '/', timeoutMs });
  expect(answer.isErr() && answer.error).toBe('unanswered');
  expect(performance.now() - startedAt).toBeLessThan(2 * partEveryMs + timeoutMs + 1000);
});
