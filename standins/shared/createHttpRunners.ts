import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { createWakeTimer } from './createWakeTimer.js';
import type { EffectRunners } from './EffectRunners.js';
import type { Exchanges } from './Exchanges.js';
import type { HttpContext } from './HttpContext.js';
import type { HttpEffect } from './HttpEffect.js';
import type { Push } from './Push.js';
import type { TickEvent } from './TickEvent.js';

/** Creates the runners of the effects shared by all HTTP stand-ins. */
export const createHttpRunners = (
  { finishExchange }: Exchanges,
  push: Push<TickEvent>,
): EffectRunners<HttpEffect> => {
  const finishAfter = (
    requestId: string,
    afterMs: number | undefined,
    makeResponse: (context: HttpContext) => Response,
  ) => {
    if (afterMs) setTimeout(() => finishExchange(requestId, makeResponse), afterMs);
    else finishExchange(requestId, makeResponse);
  };
  return {
    ...createWakeTimer(push),
    answer: ({ requestId, status, body, afterMs }) =>
      finishAfter(requestId, afterMs, () => Response.json(body, { status })),
    destroyConnection: ({ requestId, afterMs }) =>
      finishAfter(requestId, afterMs, (context) => {
        context.env.outgoing.destroy();
        return RESPONSE_ALREADY_SENT;
      }),
  };
};
