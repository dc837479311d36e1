import type { CallerResponse } from './CallerResponse.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';

/** Notes what a caller receives; a caller that has left receives nothing. */
export const answerCaller = (world: World, requestId: string, response: CallerResponse): void => {
  const caller = world.history.callers.get(requestId);
  if (!caller || caller.goneAt !== null) return;
  traceStep(world, `caller ${requestId}`, response);
  caller.responses.push(response);
};
