import type { Server } from 'node:http';
import { type HttpBindings, serve } from '@hono/node-server';
import { Hono } from 'hono';
import type { CommandResult } from '../../core/commands/CommandResult.js';
import type { RefusalReason } from '../../core/RefusalReason.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import { createApiRoutes } from '../api/createApiRoutes.js';
import type { CallerTable } from '../callers/CallerTable.js';
import { createCallerRoutes } from '../callers/createCallerRoutes.js';
import { createCallerRunners } from '../callers/createCallerRunners.js';
import type { EffectRunners } from '../EffectRunners.js';
import type { Logger } from '../logger/Logger.js';
import type { GatewayServer } from './GatewayServer.js';

interface GatewayOptions {
  listen: { host: string; port: number };
  push: (event: UntimedEvent) => void;
  countRefusal: (reason: RefusalReason) => void;
  logger: Pick<Logger, 'write'>;
}

const listen = (
  application: Hono<{ Bindings: HttpBindings }>,
  { listen: { host, port }, logger }: GatewayOptions,
): Server => {
  const server = serve({ fetch: application.fetch, hostname: host, port }) as Server;
  server.on('error', (error) => {
    logger.write('error', 'http_failed', { error: error.message });
    process.exit(1);
  });
  return server;
};

/** Serves callers and operators over HTTP. */
export const createGatewayServer = (options: GatewayOptions): GatewayServer => {
  const { push, countRefusal } = options;
  const table: CallerTable = { callers: new Map(), attempts: new Map() };
  const pendingCommands = new Map<string, (result: CommandResult) => void>();
  let ready = false;
  let draining = false;
  const waitForCommandResult = (requestId: string): Promise<CommandResult> =>
    new Promise((resolve) => {
      pendingCommands.set(requestId, resolve);
    });
  const application = new Hono<{ Bindings: HttpBindings }>();
  application.use((context, next) => {
    // Set on the Node.js response. Hono would add the header after the handler and replace the
    // response, so that a caller whose response is streamed later would receive an empty 200.
    if (draining) context.env.outgoing.setHeader('connection', 'close');
    return next();
  });
  application.get('/livez', (context) => context.text('ok'));
  application.get('/readyz', (context) =>
    ready ? context.text('ready') : context.text('not ready', 503),
  );
  application.route('/', createApiRoutes({ push, waitForCommandResult, countRefusal }));
  application.route('/', createCallerRoutes({ table, push, countRefusal }));
  const server = listen(application, options);
  const runners: EffectRunners = {
    ...createCallerRunners(table, push),
    answerCommand: ({ requestId, result }) => {
      pendingCommands.get(requestId)?.(result);
      pendingCommands.delete(requestId);
    },
    setReady: (effect) => {
      draining = ready && !effect.ready;
      ready = effect.ready;
    },
    closeListener: () => server.close(),
  };
  return { runners, close: () => server.closeAllConnections() };
};
