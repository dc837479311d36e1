import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import { createExchanges } from '../shared/createExchanges.js';
import { createHttpRunners } from '../shared/createHttpRunners.js';
import { createEventLoop } from '../shared/createEventLoop.js';
import { readClock } from '../shared/readClock.js';
import { readFlags } from '../shared/readFlags.js';
import { startServer } from '../shared/startServer.js';
import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerEvent } from './WorkerEvent.js';
import type { WorkerState } from './WorkerState.js';
import { createWorkerState } from './createWorkerState.js';
import { createWorkerApp } from './createWorkerApp.js';
import { reduceWorker } from './reduceWorker.js';
import { refuseConnections } from './refuseConnections.js';
import { sendAnswer } from './sendAnswer.js';

/** Starts a backend server with the options of a command line. */
export const startWorker = (argv: string[]): Server => {
  const flags = readFlags('worker', argv, {
    port: 0,
    id: 'worker-1',
    slots: 8,
    connections: 64,
    accelerators: 8,
    speed: 1,
    usageLagMs: 2000,
  });
  const { id, slots, connections, accelerators, speed, usageLagMs } = flags;
  const incarnation = `${id}/${randomUUID()}`;
  const exchanges = createExchanges();
  let server: Server | undefined;
  const push = createEventLoop<WorkerState, WorkerEvent, WorkerEffect>(
    createWorkerState({ id, incarnation, slots, accelerators, speed, usageLagMs }, readClock().at),
    reduceWorker,
    (pushTick) => ({
      ...createHttpRunners(exchanges, pushTick),
      answerShortRequest: (effect) =>
        exchanges.finishExchange(effect.requestId, ({ env }) => {
          sendAnswer(env.outgoing, effect);
          return RESPONSE_ALREADY_SENT;
        }),
      refuseConnections: ({ forMs }) => {
        if (server) refuseConnections(server, forMs);
      },
    }),
  );
  server = startServer('worker', createWorkerApp(exchanges, push), flags.port);
  server.maxConnections = connections;
  server.on('drop', () => push({ type: 'connectionDropped' }));
  return server;
};
