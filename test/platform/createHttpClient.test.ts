import { spawn, type ChildProcess } from 'node:child_process';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { createHttpClient } from '../../platform/createHttpClient.js';
import { createLoopClock } from '../../src/adapters/loop/createLoopClock.js';

const timeoutMs = 300;
const chunkIntervalMs = 100;
const chunkCount = 8;

let server: Server | null = null;
let child: ChildProcess | null = null;

afterEach(() => {
  child?.kill();
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
  const response = await createHttpClient(1, createLoopClock()).send({
    method: 'GET',
    address,
    path: '/',
    timeoutMs,
  });
  expect(response.isOk() && response.value.body.length).toBe(chunkCount * 1000);
});

// Guards against an endless wait when a connection stalls in the middle of a response.
test('stalled response times out', async () => {
  const address = await serve(sendChunks(2));
  const startedAt = performance.now();
  const response = await createHttpClient(1, createLoopClock()).send({
    method: 'GET',
    address,
    path: '/',
    timeoutMs,
  });
  expect(response.isErr() && response.error).toBe('unanswered');
  expect(performance.now() - startedAt).toBeLessThan(2 * chunkIntervalMs + timeoutMs + 1000);
});

const answerDelayMs = 50;
const longTurnMs = 1500;

/** Starts a server in a process of its own, which answers while this process is busy. */
const serveElsewhere = async (): Promise<string> => {
  const script = `let count = 0;
    require('node:http').createServer((request, response) => {
      setTimeout(() => response.end(String(count += 1)), ${answerDelayMs});
    }).listen(0, '127.0.0.1', function () { console.log(this.address().port); })`;
  child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'inherit'] });
  const startedChild = child;
  const port = await new Promise<string>((resolve) => {
    startedChild.stdout?.once('data', (chunk: Buffer) => resolve(chunk.toString().trim()));
  });
  return `127.0.0.1:${port}`;
};

const blockLoop = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

// Guards against a busy process that gives up calls whose answers lie unread in its sockets: a worker
// that is well is then taken for silent, and its connection is closed.
test('answer that arrived during a long turn counts', async () => {
  const address = await serveElsewhere();
  const client = createHttpClient(1, createLoopClock());
  const request = { method: 'GET', address, path: '/', timeoutMs } as const;
  // The connection is open before the turn.
  await client.send(request);
  const pending = client.send(request);
  // After this phase of the loop, expired timers run before the sockets are read.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  blockLoop(longTurnMs);
  const response = await pending;
  expect(response.isOk() && response.value.body.toString()).toBe('2');
});

// Guards against a call that is reported as not sent and reaches its peer later.
test('call that waits for a connection is not sent after its timeout', async () => {
  const paths: string[] = [];
  const address = await serve(({ url }, response) => {
    paths.push(url ?? '');
    setTimeout(() => response.end(), 2 * timeoutMs);
  });
  let connections = 0;
  server?.on('connection', () => {
    connections += 1;
  });
  const client = createHttpClient(1, createLoopClock());
  const request = { method: 'GET', address } as const;
  const first = client.send({ ...request, path: '/first', timeoutMs: 10 * timeoutMs });
  const expired = await client.send({ ...request, path: '/expired', timeoutMs });
  expect(expired.isErr() && expired.error).toBe('not-sent');
  await first;
  await client.send({ ...request, path: '/last', timeoutMs: 10 * timeoutMs });
  expect(paths).toEqual(['/first', '/last']);
  // Calls that were given up must not cost the connection, or later calls never get their turn.
  expect(connections).toBe(1);
});
