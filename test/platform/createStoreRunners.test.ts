import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from '@jest/globals';
import { createStoreClients } from '../../platform/createStoreClients.js';
import { createStoreRunners } from '../../platform/createStoreRunners.js';
import { createLoopClock } from '../../src/adapters/loop/createLoopClock.js';
import type { StreamEffect } from '../../src/control/streams/StreamEffect.js';
import type { StreamEvent } from '../../src/control/streams/StreamEvent.js';

let server: Server | null = null;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

type Append = Extract<StreamEffect, { type: 'append' }>;

/** Appends at a store that answers with this status and reason; returns the event that follows. */
const appendAt = async (
  status: number,
  reason: string,
  records: Append['records'] = [],
): Promise<StreamEvent> => {
  const started = createServer((request, response) => {
    request.resume();
    response.writeHead(status);
    response.end(JSON.stringify({ reason }));
  });
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, '127.0.0.1', () => resolve());
  });
  const address = `127.0.0.1:${(started.address() as AddressInfo).port}`;
  return new Promise((resolve) => {
    createStoreRunners(createStoreClients(createLoopClock()), () => address, resolve).append({
      type: 'append',
      appendId: 1,
      stream: 'runs',
      records,
      condition: { type: 'fenced', token: 1, sequence: 0 },
      timeoutMs: 5000,
    });
  });
};

// Guards against a failure of the store that is taken for a refusal without effect, after which the number of the
// append would be used again, and against a refusal of a record that is retried for ever.
test.each([
  [400, '', 'invalid'],
  [413, '', 'invalid'],
  [409, 'fenced', 'fenced'],
  [409, 'seq', 'sequence'],
  [409, 'other', 'sequence'],
  [429, '', 'refused'],
  [500, '', 'unknown'],
  [502, '', 'unknown'],
  [503, '', 'refused'],
  [507, '', 'refused'],
] as const)('an append answered with %i %s has failed as %s', async (status, reason, failure) => {
  expect(await appendAt(status, reason)).toMatchObject({ type: 'appendFailed', reason: failure });
});

// Guards against a record that can't be encoded, which was an internal error and ended the term of each leader in turn.
test('an append of a record that cannot be encoded is invalid', async () => {
  const total = {
    workspace: 'w'.repeat(300),
    day: '2026-12-06',
    runs: 1,
    gpuMs: 0,
    cpuMs: 0,
    unknownRuns: 0,
    unknownGpuMs: 0,
  };
  const event = await appendAt(200, '', [{ type: 'usage', total }]);
  expect(event).toMatchObject({ type: 'appendFailed', reason: 'invalid' });
});
