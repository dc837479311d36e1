import type { Simulation } from '../simulation/Simulation.js';
import type { SimulatedNode } from '../simulation/SimulatedNode.js';

/** Finds the gateway that a command selects; null if it accepts no connections. */
export const findGateway = (simulation: Simulation, index: number): SimulatedNode | null => {
  const gateways = [...simulation.nodes.values()].filter(
    (node) => node.state.self.role === 'gateway',
  );
  const gateway = gateways[index % gateways.length]!;
  return gateway.alive && gateway.listening ? gateway : null;
};
