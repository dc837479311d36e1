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
import { createVmListState } from './createVmListState.js';
import { reduceVmList } from './reduceVmList.js';
import type { VmListEvent } from './VmListEvent.js';
import type { VmListState } from './VmListState.js';

const changeSchema = z.object({ state: z.enum(['live', 'leaving']) });
const faultsSchema = z.strictObject({ outage: z.boolean() });

/** Starts the VM list with the options of a command line. */
export const startVmList = (argv: string[]): Server => {
  const flags = readFlags('vm-list', argv, { port: 0, lagMs: 0, vms: '' });
  const ids = String(flags.vms)
    .split(',')
    .filter((id) => id !== '');
  const exchanges = createExchanges();
  const push = createEventLoop<VmListState, VmListEvent, HttpEffect>(
    createVmListState(flags.lagMs, ids),
    reduceVmList,
    (pushTick) => createHttpRunners(exchanges, pushTick),
  );
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/vms', (context) =>
    exchanges.openExchange(context, (requestId) => push({ type: 'listRequested', requestId })),
  );
  app.put('/vms/:id', (context) =>
    openJsonExchange(exchanges, context, changeSchema, (requestId, { state }) =>
      push({ type: 'changeRequested', requestId, id: context.req.param('id'), state }),
    ),
  );
  app.delete('/vms/:id', (context) =>
    exchanges.openExchange(context, (requestId) =>
      push({ type: 'changeRequested', requestId, id: context.req.param('id'), state: null }),
    ),
  );
  app.put('/faults', (context) =>
    openJsonExchange(exchanges, context, faultsSchema, (requestId, { outage }) =>
      push({ type: 'faultsRequested', requestId, outage }),
    ),
  );
  return startServer('vm-list', app, flags.port);
};
