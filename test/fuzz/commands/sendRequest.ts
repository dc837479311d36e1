import { pushEvent } from '../world/pushEvent.js';
import type { World } from '../world/World.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Lets a caller send a request to a gateway that still accepts connections. */
export const sendRequest = (
  world: World,
  command: Extract<FuzzCommand, { type: 'request' }>,
): void => {
  const gateways = [...world.nodes.values()].filter((node) => node.state.self.role === 'gateway');
  const gateway = gateways[command.gateway % gateways.length]!;
  if (!gateway.alive || !gateway.listening) return;
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
