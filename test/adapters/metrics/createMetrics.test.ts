import dgram from 'node:dgram';
import { once } from 'node:events';
import { expect, test } from '@jest/globals';
import { createMetrics } from '../../../src/adapters/metrics/createMetrics.js';

const self = { vmId: 'vm-1', zone: 'zone-a', role: 'gateway', incarnation: 'i1' } as const;

// Guards against a counter without its reason, or without the tags that identify the daemon.
test('effects reach the receiver with name and tags', async () => {
  const receiver = dgram.createSocket('udp4');
  receiver.bind(0, '127.0.0.1');
  await once(receiver, 'listening');
  const logger = { write: () => undefined };
  const { port } = receiver.address();
  const metrics = createMetrics({ host: '127.0.0.1', port }, self, logger);
  const received = once(receiver, 'message');
  metrics.runners.countRefusal({ type: 'countRefusal', reason: 'queue-full' });
  metrics.runners.countRetry({ type: 'countRetry', reason: 'grant-expired' });
  metrics.runners.count({ type: 'count', name: 'claim_lost' });
  metrics.runners.gauge({ type: 'gauge', name: 'held_workers', value: 7 });
  metrics.close();
  const [message] = (await received) as [Buffer];
  const lines = message.toString().trim().split('\n');
  expect(lines.map((line) => line.split('|#')[0])).toEqual([
    'siskinhollow.refusals:1|c',
    'siskinhollow.retries:1|c',
    'siskinhollow.claim_lost:1|c',
    'siskinhollow.held_workers:7|g',
  ]);
  expect(lines[0]?.split('|#')[1]?.split(',').sort()).toEqual([
    ...['reason:queue-full', 'role:gateway', 'vm:vm-1', 'zone:zone-a'],
  ]);
  receiver.close();
});

// Guards against an unreachable receiver that stops the daemon or floods its log.
test('socket errors are logged once and ignored', async () => {
  const codes: string[] = [];
  const logger = { write: (_level: string, code: string) => codes.push(code) };
  const metrics = createMetrics({ host: '127.0.0.1', port: 9 }, self, logger);
  // A datagram of more than 64 KiB cannot be sent, so each of these fails.
  const name = 'x'.repeat(70_000) as 'open_grants';
  [1, 2, 3].forEach((value) => metrics.runners.gauge({ type: 'gauge', name, value }));
  metrics.close();
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  expect(codes).toEqual(['metrics_unavailable']);
});
