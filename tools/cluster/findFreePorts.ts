import net from 'node:net';

// Below the range from which the kernel takes ports for outgoing connections: a port there may be in
// use when a process that was killed starts again.
const lowestPort = 10_240;
const highestPort = 32_000;

const openPort = (port: number): Promise<net.Server | null> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.on('error', () => resolve(null));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });

const closeServer = (server: net.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/** Finds ports of the loopback address that are free now, from a random one on. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers: net.Server[] = [];
  const span = highestPort - lowestPort;
  const first = Math.floor(Math.random() * span);
  for (let tried = 0; servers.length < count && tried < span; tried += 1) {
    // eslint-disable-next-line no-await-in-loop -- each port is tried after the one before.
    const server = await openPort(lowestPort + ((first + tried) % span));
    if (server) servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  if (ports.length < count) throw new Error(`${count} ports wanted, ${ports.length} are free`);
  return ports;
};
