import { expect, test } from '@jest/globals';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startWorker } from '../../../standins/worker/startWorker.js';

// Guards against answers of a wrong size, faults that do not reach the socket, and a listener
// that stays closed after connections were refused for a time.
test('http: answer size, truncated answer, refused connections', async () => {
  const server = startWorker(['node', 'worker', '--port', '0', '--id', 'w']);
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const call = (method: string, path: string, body?: object, headers = {}) =>
    fetch(`${url}${path}`, { method, headers, ...(body ? { body: JSON.stringify(body) } : {}) });
  const headers = { 'siskin-request': 'q1', 'siskin-attempt': 'a1', 'x-body-bytes': '200000' };
  const text = await (await call('POST', '/infer?x-work-ms=5', { a: 1 }, headers)).text();
  expect(text.length).toBe(200_000);
  expect(JSON.parse(text)).toMatchObject({
    method: 'POST',
    path: '/infer',
    worker: 'w',
    requestBodyBytes: 7,
    siskinRequest: 'q1',
    pad: expect.stringMatching(/^(q1 )+/),
  });
  await call('PUT', '/faults', { truncateAnswers: true });
  await expect(call('GET', '/x', undefined, headers).then((r) => r.text())).rejects.toThrow();
  const journal = (await (await call('GET', '/debug/journal')).json()) as { lines: object[] };
  expect(journal.lines).toMatchObject([
    { kind: 'requestStarted', attemptId: 'a1' },
    { kind: 'requestEnded', outcome: 'answered' },
    { kind: 'requestStarted' },
    { kind: 'requestEnded', outcome: 'interrupted' },
  ]);
  expect((await call('PUT', '/faults', { refuseConnectionsMs: 200 })).status).toBe(200);
  await sleep(100);
  await expect(call('GET', '/v1/lease')).rejects.toThrow();
  await sleep(300);
  expect((await call('GET', '/v1/lease')).status).toBe(200);
  server.closeAllConnections();
  server.close();
});
