import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Server } from 'node:http';
import { z } from 'zod';
import { createExchanges } from '../shared/createExchanges.js';
import { createHttpRunners } from '../shared/createHttpRunners.js';
import { createEventLoop } from '../shared/createEventLoop.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import { openJsonExchange } from '../shared/openJsonExchange.js';
import { readFlags } from '../shared/readFlags.js';
import { startServer } from '../shared/startServer.js';
import { createLogState } from './createLogState.js';
import type { LogServiceEvent } from './LogServiceEvent.js';
import type { LogState } from './LogState.js';
import { reduceLog } from './reduceLog.js';

const appendSchema = z.object({ records: z.array(z.unknown()).min(1) });
const faultsSchema = z.strictObject({
  outage: z.boolean().exactOptional(),
  delayMs: z.number().min(0).exactOptional(),
  loseAppendAnswers: z.number().int().min(0).exactOptional(),
});
const readSchema = z.object({
  from: z.coerce.number().int().min(0).default(0),
  limit: z.coerce.number().int().min(1).max(10_000).default(1000),
  waitMs: z.coerce.number().min(0).max(60_000).default(0),
});

/** Starts the log service with the options of a command line. */
export const startLog = (argv: string[]): Server => {
  const flags = readFlags('log', argv, {
    port: 0,
    // One hour covers a whole test run; the retention of the platform's log is unknown.
    retentionMs: 3_600_000,
    // "Several hundred appends a second in total" (docs/design.md, section 1.4).
    appendsPerSecond: 300,
  });
  const exchanges = createExchanges();
  const push = createEventLoop<LogState, LogServiceEvent, HttpEffect>(
    createLogState(flags),
    reduceLog,
    (pushTick) => createHttpRunners(exchanges, pushTick),
  );
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.post('/streams/:name/records', (context) =>
    openJsonExchange(exchanges, context, appendSchema, (requestId, { records }) =>
      push({ type: 'appendRequested', requestId, stream: context.req.param('name'), records }),
    ),
  );
  app.get('/streams/:name/records', (context) => {
    const query = readSchema.safeParse(context.req.query());
    if (!query.success) return context.json({ error: 'bad-query' }, 400);
    const stream = context.req.param('name');
    return exchanges.openExchange(context, (requestId) =>
      push({ type: 'readRequested', requestId, stream, ...query.data }),
    );
  });
  app.put('/faults', (context) =>
    openJsonExchange(exchanges, context, faultsSchema, (requestId, faults) =>
      push({ type: 'faultsRequested', requestId, faults }),
    ),
  );
  return startServer('log', app, flags.port);
};
