import { startNode } from './startNode.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Starts a new process of a daemon, with empty state. */
export const restartNode = (simulation: Simulation, node: SimulatedNode): void => {
  if (node.alive) return;
  traceStep(simulation, node.id, 'process starts');
  simulation.links
    .filter(({ ends }) => ends.includes(node.id))
    .forEach((link) => {
      link.open[link.ends[0] === node.id ? 0 : 1] = false;
    });
  startNode(simulation, node);
};
