import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Server as HttpServer } from 'node:http';
import { type AddressInfo, createServer, type Server } from 'node:net';
import { z } from 'zod';
import { createExchanges } from '../shared/createExchanges.js';
import { createHttpRunners } from '../shared/createHttpRunners.js';
import { createEventLoop } from '../shared/createEventLoop.js';
import { openJsonExchange } from '../shared/openJsonExchange.js';
import { readFlags } from '../shared/readFlags.js';
import { startServer } from '../shared/startServer.js';
import { createRelaySockets } from './createRelaySockets.js';
import { createRelayState } from './createRelayState.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayEvent } from './RelayEvent.js';
import type { RelayState } from './RelayState.js';
import { reduceRelay } from './reduceRelay.js';

const faultsSchema = z.strictObject({
  cut: z.boolean().exactOptional(),
  cutSide: z.enum(['both', 'client', 'target']).exactOptional(),
  cutMode: z.enum(['freeze', 'reset']).exactOptional(),
  delayMs: z.number().min(0).exactOptional(),
});

/** Starts the relay with the given command line. */
export const startRelay = (argv: string[]): { relay: Server; control: HttpServer } => {
  const flags = readFlags('relay', argv, {
    listen: 0,
    target: '127.0.0.1:0',
    control: 0,
    from: '127.0.0.1',
  });
  const [host = '127.0.0.1', port] = flags.target.split(':');
  const exchanges = createExchanges();
  let addClient: ReturnType<typeof createRelaySockets>['addClient'] = () => {};
  const push = createEventLoop<RelayState, RelayEvent, RelayEffect>(
    createRelayState(),
    reduceRelay,
    (pushEvent) => {
      const sockets = createRelaySockets(pushEvent, {
        host,
        port: Number(port),
        localAddress: flags.from,
      });
      addClient = sockets.addClient;
      return { ...createHttpRunners(exchanges, pushEvent), ...sockets.runners };
    },
  );
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.put('/faults', (context) =>
    openJsonExchange(exchanges, context, faultsSchema, (requestId, faults) =>
      push({ type: 'faultsRequested', requestId, faults }),
    ),
  );
  const relay = createServer({ allowHalfOpen: true, pauseOnConnect: true }, addClient);
  relay.listen(flags.listen, '127.0.0.1', () => {
    const { port: listening } = relay.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ program: 'relay', listening })}\n`);
  });
  return { relay, control: startServer('relay-control', app, flags.control) };
};
