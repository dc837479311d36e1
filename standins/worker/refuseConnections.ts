import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

// Leaves time to send the answer to the call that requested the fault.
const closeDelayMs = 50;

/** Closes the listener and all connections, and listens on the same port again after `forMs`. */
export const refuseConnections = (server: Server, forMs: number): void => {
  const { port } = server.address() as AddressInfo;
  server.close();
  setTimeout(() => server.closeAllConnections(), closeDelayMs);
  setTimeout(() => server.listen(port, '127.0.0.1'), closeDelayMs + forMs);
};
