import net from 'node:net';

// All ports are below the ephemeral range, from which the kernel assigns ports to outgoing
// connections: such a connection could take the port of a killed process before its restart.
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

/** Finds free ports of the loopback address; the search begins at a random port. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers: net.Server[] = [];
  const span = highestPort - lowestPort;
  const first = Math.floor(Math.random() * span);
  for (let tried = 0; servers.length < count && tried < span; tried += 1) {
    // eslint-disable-next-line no-await-in-loop -- ports are tried one after another
    const server = await openPort(lowestPort + ((first + tried) % span));
    if (server) servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  if (ports.length < count) throw new Error(`${count} ports needed, ${ports.length} free`);
  return ports;
};
