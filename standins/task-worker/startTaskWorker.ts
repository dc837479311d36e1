import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Server } from 'node:http';
import { z } from 'zod';
import { createExchanges } from '../shared/createExchanges.js';
import { createHttpRunners } from '../shared/createHttpRunners.js';
import { createEventLoop } from '../shared/createEventLoop.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import { openJsonExchange } from '../shared/openJsonExchange.js';
import { readClock } from '../shared/readClock.js';
import { readFlags } from '../shared/readFlags.js';
import { startServer } from '../shared/startServer.js';
import { createTaskWorkerState } from './createTaskWorkerState.js';
import { reduceTaskWorker } from './reduceTaskWorker.js';
import type { TaskWorkerEvent } from './TaskWorkerEvent.js';
import type { TaskWorkerState } from './TaskWorkerState.js';

const startSchema = z.object({
  task: z.string(),
  run: z.number(),
  spec: z.string(),
  until_ms: z.number(),
  fencing_token: z.number(),
});
const stopSchema = z.object({ task: z.string(), run: z.number(), fencing_token: z.number() });
const holdSchema = z.object({
  until_ms: z.number().optional(),
  last_seen: z.number(),
  wait_ms: z.number().default(0),
  fencing_token: z.number(),
});
const faultsSchema = z.strictObject({ failing: z.boolean() });

/** Starts the worker with the given command line. */
export const startTaskWorker = (argv: string[]): Server => {
  const flags = readFlags('task-worker', argv, { port: 0, id: 'w1', born: 0 });
  const exchanges = createExchanges();
  const push = createEventLoop<TaskWorkerState, TaskWorkerEvent, HttpEffect>(
    createTaskWorkerState(flags.id, flags.born, readClock().at),
    reduceTaskWorker,
    (pushEvent) => createHttpRunners(exchanges, pushEvent),
  );
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.post('/-/run-start', (context) =>
    openJsonExchange(exchanges, context, startSchema, (requestId, body) => {
      const { task, run, spec, until_ms: expiresAt, fencing_token: token } = body;
      push({ type: 'startRequested', requestId, token, task, run, spec, expiresAt });
    }),
  );
  app.post('/-/run-stop', (context) =>
    openJsonExchange(exchanges, context, stopSchema, (requestId, body) => {
      const { task, run, fencing_token: token } = body;
      push({ type: 'stopRequested', requestId, token, task, run });
    }),
  );
  app.post('/-/hold', (context) =>
    openJsonExchange(exchanges, context, holdSchema, (requestId, body) => {
      const { until_ms: expiresAt = null, last_seen: lastSeen, wait_ms: waitMs } = body;
      const token = body.fencing_token;
      push({ type: 'holdRequested', requestId, token, expiresAt, lastSeen, waitMs });
    }),
  );
  app.get('/journal', (context) =>
    exchanges.openExchange(context, (requestId) => push({ type: 'journalRequested', requestId })),
  );
  app.put('/faults', (context) =>
    openJsonExchange(exchanges, context, faultsSchema, (requestId, { failing }) =>
      push({ type: 'faultsRequested', requestId, failing }),
    ),
  );
  return startServer(flags.id, app, flags.port);
};
