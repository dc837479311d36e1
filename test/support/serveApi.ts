import http from 'node:http';
import { once } from 'node:events';
import { getRequestListener } from '@hono/node-server';
import { createApiRoutes } from '../../src/adapters/api/createApiRoutes.js';
import type { Command } from '../../src/core/commands/Command.js';
import type { CommandResult } from '../../src/core/commands/CommandResult.js';

/** Serves the control API on loopback; `decide` answers the commands in place of the core. */
export const serveApi = async (decide: (command: Command) => CommandResult) => {
  const commands: Command[] = [];
  const pendingCommands = new Map<string, (result: CommandResult) => void>();
  const routes = createApiRoutes({
    push: (event) => {
      if (event.type !== 'commandRequested') return;
      commands.push(event.command);
      pendingCommands.get(event.requestId)?.(decide(event.command));
    },
    waitForCommandResult: (requestId) =>
      new Promise((resolve) => {
        pendingCommands.set(requestId, resolve);
      }),
    countRefusal: () => undefined,
  });
  const listener = getRequestListener(routes.fetch);
  const server = http.createServer((request, response) => {
    listener(request, response).catch((error: Error) => response.destroy(error));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as { port: number };
  const close = async (): Promise<void> => {
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  };
  return { url: `http://127.0.0.1:${port}`, commands, close };
};
