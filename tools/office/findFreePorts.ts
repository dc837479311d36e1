import net from 'node:net';

const openPort = (): Promise<net.Server> =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });

const closeServer = (server: net.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/** Finds ports of the loopback address that are free now. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, openPort));
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
};
