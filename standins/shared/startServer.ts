import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Starts the HTTP server on loopback and prints one JSON line with its port. */
export const startServer = (
  name: string,
  app: Hono<{ Bindings: HttpBindings }>,
  port: number,
): Server => {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server;
  server.listen(port, '127.0.0.1', () => {
    const { port: listening } = server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ program: name, listening })}\n`);
  });
  return server;
};
