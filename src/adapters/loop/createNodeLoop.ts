import type { Effect } from '../../control/Effect.js';
import { reduce } from '../../control/reduce.js';
import type { State } from '../../control/State.js';
import type { UntimedEvent } from '../../control/UntimedEvent.js';
import type { Logger } from '../logger/Logger.js';
import { createEventLoop } from './createEventLoop.js';
import type { EventLoop } from './EventLoop.js';
import type { LoopClock } from './LoopClock.js';

const formatError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);

/**
 * Creates the event loop of the daemon on the platform. An unexpected error is logged and reported to
 * the reducer, which gives up what may be damaged, instead of ending the process.
 */
export const createNodeLoop = (
  state: State,
  clock: LoopClock,
  logger: Logger,
): EventLoop<UntimedEvent, Effect> => {
  const loop = createEventLoop<UntimedEvent, Effect>((event) => reduce(state, event), {
    readResponsiveAt: clock.read,
    onError: (error, type) => {
      logger.write('error', 'handler_failed', { type, reason: formatError(error) });
      // A failure while a failure is handled is not reported again.
      if (type !== 'handlerFailed') loop.push({ type: 'handlerFailed', failedType: type });
    },
  });
  clock.onTick(() => loop.push({ type: 'tick' }));
  return loop;
};
