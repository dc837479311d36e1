import type { World } from '../world/World.js';
import type { WorldNode } from '../world/WorldNode.js';

/** Finds the gateway that a command names, or null if it accepts no connection. */
export const findGateway = (world: World, index: number): WorldNode | null => {
  const gateways = [...world.nodes.values()].filter((node) => node.state.self.role === 'gateway');
  const gateway = gateways[index % gateways.length]!;
  return gateway.alive && gateway.listening ? gateway : null;
};
