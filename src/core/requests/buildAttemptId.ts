import type { Exchange } from './Exchange.js';

/** Builds the id of an exchange's current attempt. */
export const buildAttemptId = (exchange: Pick<Exchange, 'requestId' | 'attempt'>): string =>
  `${exchange.requestId}.${exchange.attempt}`;
