import type { Server } from 'node:http';
import { createExchanges } from '../shared/createExchanges.js';
import { createHttpRunners } from '../shared/createHttpRunners.js';
import { createEventLoop } from '../shared/createEventLoop.js';
import { logLoopLag } from '../shared/logLoopLag.js';
import { readFlags } from '../shared/readFlags.js';
import { startServer } from '../shared/startServer.js';
import { createStoreApp } from './createStoreApp.js';
import { createStoreState } from './createStoreState.js';
import { reduceStore } from './reduceStore.js';
import type { StoreEffect } from './StoreEffect.js';
import type { StoreEvent } from './StoreEvent.js';
import type { StoreState } from './StoreState.js';

/** Starts the store with the given command line. */
export const startStore = (argv: string[]): Server => {
  const flags = readFlags('store', argv, { port: 0, seed: 1 });
  const exchanges = createExchanges();
  const push = createEventLoop<StoreState, StoreEvent, StoreEffect>(
    createStoreState(flags.seed),
    reduceStore,
    (pushEvent) => ({
      ...createHttpRunners(exchanges, pushEvent),
      answerBytes: ({ requestId, body, afterMs }) => {
        setTimeout(() => {
          exchanges.finishExchange(requestId, () => new Response(new Uint8Array(body)));
        }, afterMs);
      },
    }),
  );
  const app = createStoreApp(exchanges, push);
  logLoopLag('store');
  return startServer('store', app, flags.port);
};
