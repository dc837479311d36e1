import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Sends a request of a caller to a gateway, if it accepts connections. */
export const sendRequest = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'request' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  if (!gateway) return;
  const { idempotent, timeoutMs, serviceMs } = command;
  const requestId = `r${simulation.history.callers.size + 1}`;
  const key = command.key === null ? null : `k${command.key}`;
  simulation.history.callers.set(requestId, {
    requestId,
    gateway: gateway.id,
    workspace: 'alpha',
    idempotent,
    key,
    sentAt: simulation.now,
    timeoutMs,
    serviceMs,
    disconnectedAt: null,
    responses: [],
  });
  pushEvent(simulation, gateway, gateway.processNumber, {
    type: 'callerRequested',
    requestId,
    tokenHash: 'root-hash',
    workspace: 'alpha',
    requestClass: serviceMs > 1000 ? 'long' : 'short',
    idempotent,
    ...(key === null ? {} : { idempotencyKey: key }),
    timeoutMs,
    replayable: true,
  });
};
