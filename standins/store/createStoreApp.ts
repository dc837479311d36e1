import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { z } from 'zod';
import type { Exchanges } from '../shared/Exchanges.js';
import type { HttpContext } from '../shared/HttpContext.js';
import { openJsonExchange } from '../shared/openJsonExchange.js';
import type { Push } from '../shared/Push.js';
import { decodeAppend } from './decodeAppend.js';
import type { StoreEvent } from './StoreEvent.js';

type StoreApp = Hono<{ Bindings: HttpBindings }>;

const faultsSchema = z.strictObject({
  outage: z.enum(['none', 'refuse', 'silent']).exactOptional(),
  entriesExpire: z.boolean().exactOptional(),
  lostShare: z.number().min(0).max(1).exactOptional(),
  refusedReads: z
    .strictObject({ address: z.string(), topic: z.string() })
    .nullable()
    .exactOptional(),
  delayMs: z.number().min(0).exactOptional(),
});

const readNumber = (context: HttpContext, name: string): number | null => {
  const text = context.req.query(name);
  return text === undefined ? null : Number(text);
};

const readTopic = (context: HttpContext): string => context.req.query('topic') ?? '';

const readCall = (context: HttpContext, requestId: string) => ({
  requestId,
  topic: readTopic(context),
  address: context.env.incoming.socket.remoteAddress ?? '',
});

const readProducer = (context: HttpContext) => {
  const name = context.req.query('producer');
  if (name === undefined) return null;
  return {
    name,
    epoch: readNumber(context, 'epoch') ?? 0,
    sequence: readNumber(context, 'seq_no') ?? 0,
  };
};

const addReadRoutes = (app: StoreApp, exchanges: Exchanges, push: Push<StoreEvent>): void => {
  app.get('/-/log-read', (context) =>
    exchanges.openExchange(context, (requestId) =>
      push({
        type: 'readRequested',
        ...readCall(context, requestId),
        fromOffset: readNumber(context, 'from') ?? 0,
        waitMs: readNumber(context, 'wait_ms') ?? 0,
      }),
    ),
  );
  app.get('/-/log-newest', (context) =>
    exchanges.openExchange(context, (requestId) =>
      push({
        type: 'newestRequested',
        ...readCall(context, requestId),
        afterKey: context.req.query('after') ?? '',
      }),
    ),
  );
};

/** Creates the HTTP interface of the store: the platform's calls, heartbeats of workers, and faults. */
export const createStoreApp = (exchanges: Exchanges, push: Push<StoreEvent>): StoreApp => {
  const app: StoreApp = new Hono();
  app.post('/-/log-append', async (context) => {
    const records = decodeAppend(Buffer.from(await context.req.arrayBuffer()));
    return exchanges.openExchange(context, (requestId) =>
      push({
        type: 'appendRequested',
        requestId,
        topic: readTopic(context),
        records,
        expectedEndOffset: readNumber(context, 'at'),
        producer: readProducer(context),
      }),
    );
  });
  addReadRoutes(app, exchanges, push);
  app.put('/heartbeat', async (context) => {
    const value = Buffer.from(await context.req.arrayBuffer());
    const key = context.req.query('key') ?? '';
    return exchanges.openExchange(context, (requestId) =>
      push({ type: 'heartbeatReceived', requestId, key, value }),
    );
  });
  app.put('/faults', (context) =>
    openJsonExchange(exchanges, context, faultsSchema, (requestId, faults) =>
      push({ type: 'faultsRequested', requestId, faults }),
    ),
  );
  return app;
};
