import { pushEvent } from '../world/pushEvent.js';
import type { World } from '../world/World.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Lets a caller send a request to a gateway that still accepts connections. */
export const sendRequest = (
  world: World,
  command: Extract<FuzzCommand, { type: 'request' }>,
): void => {
  const gateway = findGateway(world, command.gateway);
  if (!gateway) return;
  const { idempotent, timeoutMs, serviceMs } = command;
  const requestId = `r${world.history.callers.size + 1}`;
  const key = command.key === null ? null : `k${command.key}`;
  world.history.callers.set(requestId, {
    requestId,
    gateway: gateway.id,
    workspace: 'alpha',
    idempotent,
    key,
    sentAt: world.now,
    timeoutMs,
    serviceMs,
    goneAt: null,
    responses: [],
  });
  pushEvent(world, gateway, gateway.life, {
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
