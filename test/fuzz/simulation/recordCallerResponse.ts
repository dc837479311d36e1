import type { CallerResponse } from './CallerResponse.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

/** Records a response to a caller, unless the caller has disconnected. */
export const recordCallerResponse = (
  simulation: Simulation,
  requestId: string,
  response: CallerResponse,
): void => {
  const caller = simulation.history.callers.get(requestId);
  if (!caller || caller.disconnectedAt !== null) return;
  traceStep(simulation, `caller ${requestId}`, response);
  caller.responses.push(response);
};
