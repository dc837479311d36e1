import { expect, test } from '@jest/globals';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { startLog } from '../../../standins/log/startLog.js';

// Guards against an HTTP adapter that answers an append whose answer is to be lost, or leaves a
// long poll open after an append.
test('http: long poll gets an append whose answer is lost', async () => {
  const server = startLog(['node', 'log', '--port', '0']);
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const call = (method: string, path: string, body?: unknown) =>
    fetch(`${url}${path}`, { method, ...(body ? { body: JSON.stringify(body) } : {}) });
  const records = '/streams/s/records';
  await call('PUT', '/faults', { loseAppendAnswers: 1 });
  const poll = call('GET', `${records}?waitMs=5000`);
  await expect(call('POST', records, { records: ['x'] })).rejects.toThrow();
  expect(await (await poll).json()).toMatchObject({ records: [{ offset: 0, data: 'x' }] });
  expect((await call('POST', records, { records: 'x' })).status).toBe(400);
  server.closeAllConnections();
  server.close();
});
