import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, test } from '@jest/globals';
import { createLogRunners } from '../../../src/adapters/log/createLogRunners.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';

const append = {
  type: 'appendLog',
  appendId: 'a1',
  stream: 'usage',
  records: [{ id: 1 }] as unknown[],
} as const;
const read = {
  type: 'readLog',
  readId: 'r1',
  stream: 'settings',
  fromOffset: 3,
  limit: 10,
  waitMs: 50,
} as const;

/** Runs both effects against a loopback server, which can be closed before they run. */
const runBoth = async (listener: RequestListener, closed = false): Promise<UntimedEvent[]> => {
  const server = createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  if (closed) {
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }
  const events: UntimedEvent[] = [];
  const runners = createLogRunners(`http://127.0.0.1:${port}`, (event) => events.push(event));
  await runners.appendLog(append);
  await runners.readLog(read);
  await runners.close();
  server.closeAllConnections();
  server.close();
  return events;
};

const answerWith =
  (status: number, body: unknown): RequestListener =>
  (_request, response) => {
    response.writeHead(status).end(JSON.stringify(body));
  };

// Guards against a wrong path or query, and against a response that does not reach the core.
test('responses become events', async () => {
  const urls: string[] = [];
  const page = {
    records: [{ offset: 3, wall: 5, data: { a: 1 } }],
    nextOffset: 4,
    oldestOffset: 0,
  };
  const events = await runBoth((request, response) => {
    urls.push(`${request.method} ${request.url}`);
    answerWith(200, request.method === 'GET' ? page : { firstOffset: 7 })(request, response);
  });
  expect(urls).toEqual([
    'POST /streams/usage/records',
    'GET /streams/settings/records?from=3&limit=10&waitMs=50',
  ]);
  expect(events).toEqual([
    { type: 'logAppended', appendId: 'a1', stream: 'usage', firstOffset: 7 },
    { type: 'logRead', readId: 'r1', stream: 'settings', ...page },
  ]);
});

// Guards against `notSent` for an append that may have taken effect, and against `unknown` for one
// that has not.
test.each([
  ['busy', 429, {}, 'notSent'],
  ['unavailable', 503, {}, 'notSent'],
  ['internal error', 500, {}, 'unknown'],
  ['unreadable response', 200, { firstOffset: 'x' }, 'unknown'],
])('append outcome: %s', async (_name, status, body, outcome) => {
  const events = await runBoth(answerWith(status, body));
  expect(events).toMatchObject([
    { type: 'logAppendFailed', appendId: 'a1', outcome },
    { type: 'logReadFailed', readId: 'r1' },
  ]);
});

// Guards against an unknown outcome when no connection was made, so that no request was sent.
test('append outcome: connection refused', async () => {
  const events = await runBoth(answerWith(200, {}), true);
  expect(events[0]).toMatchObject({ type: 'logAppendFailed', outcome: 'notSent' });
});

// Guards against a repeated append: the log may have stored the first one before the connection
// broke.
test('append outcome: connection broken after the request', async () => {
  const events = await runBoth((request) => {
    request.resume().on('end', () => request.socket.destroy());
  });
  expect(events[0]).toMatchObject({ type: 'logAppendFailed', outcome: 'unknown' });
});
