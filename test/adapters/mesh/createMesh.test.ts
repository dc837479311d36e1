import { once } from 'node:events';
import { afterEach, expect, test } from '@jest/globals';
import WebSocket from 'ws';
import { createMesh } from '../../../src/adapters/mesh/createMesh.js';
import { encodeMessage } from '../../../src/adapters/mesh/encodeMessage.js';
import type { Mesh } from '../../../src/adapters/mesh/Mesh.js';
import type { Message } from '../../../src/core/Message.js';
import type { NodeId } from '../../../src/core/NodeId.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { findFreePorts } from '../../../tools/cluster/findFreePorts.js';
import { waitUntil } from '../../../tools/cluster/waitUntil.js';

const secret = 'secret-of-the-mesh';
const eventTimeoutMs = 5000;
let meshes: Mesh[] = [];

afterEach(() => {
  meshes.forEach((mesh) => mesh.close());
  meshes = [];
});

const startScheduler = async () => {
  const [port] = await findFreePorts(1);
  const events: UntimedEvent[] = [];
  let rejected = 0;
  const nodes: NodeId[] = ['vm-1/gateway', 'vm-2/gateway'];
  const mesh = createMesh({
    self: { vmId: 'vm-1', zone: 'zone-a', role: 'scheduler', incarnation: 'i1' },
    secret,
    listen: { host: '127.0.0.1', port: port! },
    peers: nodes.map((node) => ({ node, zone: 'zone-a', host: '127.0.0.1', port: 1 })),
    push: (event) => events.push(event),
    count: () => {
      rejected += 1;
    },
    logger: { write: () => undefined },
  });
  meshes.push(mesh);
  return { port: port!, events, countRejected: () => rejected };
};

const connect = (port: number, node: string, token: string): WebSocket =>
  new WebSocket(`ws://127.0.0.1:${port}`, {
    headers: { authorization: `Bearer ${token}`, 'siskin-node': node },
  });

const openSocket = async (port: number, node: string): Promise<WebSocket> => {
  const socket = connect(port, node, secret);
  await once(socket, 'open');
  return socket;
};

const waitFor = (events: UntimedEvent[], type: UntimedEvent['type']): Promise<true> =>
  waitUntil(type, eventTimeoutMs, () =>
    events.some((event) => event.type === type) ? true : undefined,
  );

const goodbye: Message = { type: 'goodbye' };

// Guards against connections without the mesh secret, or from daemons that are not configured.
test.each([
  ['vm-1/gateway', 'wrong'],
  ['vm-9/gateway', secret],
])('connection of %s is refused', async (node, token) => {
  const { port, events, countRejected } = await startScheduler();
  const socket = connect(port, node, token);
  const [error] = (await once(socket, 'error')) as [Error];
  expect(error.message).toContain('401');
  expect([events, countRejected()]).toEqual([[], 1]);
});

// Guards against an invalid message that is accepted, or that affects the links to other peers.
test.each([
  ['undecodable', Buffer.from([0xc1])],
  ['of no known type', encodeMessage({ type: 'constructor' } as never)],
  ['with a wrong field', encodeMessage({ type: 'usageStored', batchId: 7 } as never)],
  ['too large', Buffer.alloc(1024 * 1024 + 1)],
])('message %s closes its connection only', async (_name, data) => {
  const { port, events, countRejected } = await startScheduler();
  const invalidSender = await openSocket(port, 'vm-1/gateway');
  const validSender = await openSocket(port, 'vm-2/gateway');
  invalidSender.on('error', () => undefined);
  invalidSender.send(data);
  await once(invalidSender, 'close');
  await waitFor(events, 'linkClosed');
  expect(events).toContainEqual({ type: 'linkClosed', node: 'vm-1/gateway' });
  expect(countRejected()).toBe(1);
  validSender.send(encodeMessage(goodbye));
  await waitFor(events, 'goodbye');
  expect(events).toContainEqual({ type: 'goodbye', from: 'vm-2/gateway' });
  validSender.close();
});
