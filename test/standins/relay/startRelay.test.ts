import { expect, test } from '@jest/globals';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startRelay } from '../../../standins/relay/startRelay.js';

const readPort = (server: Server) => (server.address() as AddressInfo).port;

// Guards against sockets that pass data on during a cut, lose it after the cut, or stay open at a
// cut of mode `reset`.
test('tcp: cut delays data, reset cut closes connections', async () => {
  const target = createServer((socket) => {
    // The reset cut also resets this side of the connection.
    socket.on('error', () => {});
    socket.pipe(socket);
  }).listen(0, '127.0.0.1');
  await once(target, 'listening');
  const argv = ['node', 'relay', '--target', `127.0.0.1:${readPort(target)}`];
  const { relay, control } = startRelay(argv);
  await Promise.all([once(relay, 'listening'), once(control, 'listening')]);
  const setFaults = (faults: object) =>
    fetch(`http://127.0.0.1:${readPort(control)}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
  const client = connect(readPort(relay), '127.0.0.1');
  let received = '';
  client.on('data', (data) => {
    received += data.toString();
  });
  client.write('a');
  await once(client, 'data');
  await setFaults({ cut: true });
  client.write('b');
  await sleep(50);
  expect(received).toBe('a');
  await setFaults({ cut: false });
  await once(client, 'data');
  expect(received).toBe('ab');
  const failed = once(client, 'error');
  await setFaults({ cut: true, cutMode: 'reset' });
  expect(await failed).toMatchObject([{ code: 'ECONNRESET' }]);
  control.closeAllConnections();
  [control, relay, target].forEach((server) => server.close());
});
