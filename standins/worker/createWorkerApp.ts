import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { z } from 'zod';
import type { Exchanges } from '../shared/Exchanges.js';
import { openJsonExchange } from '../shared/openJsonExchange.js';
import type { Push } from '../shared/Push.js';
import type { WorkerEvent } from './WorkerEvent.js';
import { serveShortRequest } from './serveShortRequest.js';

const leaseSchema = z.object({
  holder: z.string().min(1),
  leaseMs: z.number().min(0),
  taskLeaseMs: z.number().min(0),
  renewTasks: z.array(z.string()),
});
const taskSchema = z.object({
  jobId: z.string(),
  workspace: z.string(),
  attempt: z.number().int(),
  index: z.number().int().min(0),
  parts: z.number().int().min(1),
  accelerators: z.number().min(0),
  leaseMs: z.number().min(0),
  payload: z.string(),
  checkpoint: z.string().exactOptional(),
});
const throttleSchema = z.object({ share: z.number().gt(0).max(1).default(0.5) });
const faultsSchema = z.strictObject({
  failEverything: z.boolean().exactOptional(),
  slowFactor: z.number().gt(0).exactOptional(),
  leaving: z.boolean().exactOptional(),
  hangCheckpoint: z.boolean().exactOptional(),
  truncateAnswers: z.boolean().exactOptional(),
  resetRequests: z.boolean().exactOptional(),
  controlDelayMs: z.number().min(0).exactOptional(),
  refuseConnectionsMs: z.number().min(0).default(0),
});
const taskCalls = {
  start: 'startRequested',
  stop: 'stopRequested',
  checkpoint: 'checkpointRequested',
} as const;

/** Parses the sequence number after which lines are returned; 0 if it is missing or invalid. */
const readAfter = (after: string | undefined): number => Math.max(Number(after ?? 0) || 0, 0);

/** Creates the HTTP interface of a backend server. */
export const createWorkerApp = (
  exchanges: Exchanges,
  push: Push<WorkerEvent>,
): Hono<{ Bindings: HttpBindings }> => {
  const app = new Hono<{ Bindings: HttpBindings }>();
  const { openExchange } = exchanges;
  app.get('/v1/lease', (context) =>
    openExchange(context, (requestId) => push({ type: 'leaseRead', requestId })),
  );
  app.post('/v1/lease', (context) =>
    openJsonExchange(
      exchanges,
      context,
      leaseSchema,
      (requestId, { holder, taskLeaseMs, renewTasks }) =>
        push({ type: 'leaseRenewed', requestId, holder, taskLeaseMs, renewTasks }),
    ),
  );
  app.delete('/v1/lease', (context) => {
    const holder = context.req.query('holder') ?? '';
    return openExchange(context, (requestId) => push({ type: 'leaseReleased', requestId, holder }));
  });
  app.put('/v1/tasks/:id', (context) =>
    openJsonExchange(exchanges, context, taskSchema, (requestId, body) => {
      const task = { ...body, taskId: context.req.param('id') };
      push({ type: 'prepareRequested', requestId, task });
    }),
  );
  Object.entries(taskCalls).forEach(([name, type]) => {
    app.post(`/v1/tasks/:id/${name}`, (context) => {
      const taskId = context.req.param('id') ?? '';
      return openExchange(context, (requestId) => push({ type, requestId, taskId }));
    });
  });
  app.post('/v1/tasks/:id/throttle', (context) =>
    openJsonExchange(exchanges, context, throttleSchema, (requestId, { share }) =>
      push({ type: 'throttleRequested', requestId, taskId: context.req.param('id'), share }),
    ),
  );
  app.get('/v1/usage', (context) => {
    const after = readAfter(context.req.query('after'));
    return openExchange(context, (requestId) => push({ type: 'usageRead', requestId, after }));
  });
  app.get('/debug/journal', (context) => {
    const after = readAfter(context.req.query('after'));
    return openExchange(context, (requestId) => push({ type: 'journalRead', requestId, after }));
  });
  app.put('/faults', (context) =>
    openJsonExchange(
      exchanges,
      context,
      faultsSchema,
      (requestId, { refuseConnectionsMs, ...faults }) =>
        push({ type: 'faultsRequested', requestId, faults, refuseConnectionsMs }),
    ),
  );
  app.all('*', (context) => serveShortRequest(context, exchanges, push));
  return app;
};
