import { killNode } from './killNode.js';
import { readClock } from './readClock.js';
import { restartNode } from './restartNode.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const restartDelayMs = 2000;

const listOpenRequests = (simulation: Simulation, node: SimulatedNode): string[] =>
  [...simulation.history.callers.values()]
    .filter((caller) => caller.gateway === node.id && caller.disconnectedAt === null)
    .filter(({ responses }) => {
      const last = responses.at(-1);
      return !last || (last.type === 'answer' && !last.complete);
    })
    .map((caller) => caller.requestId);

/** Ends a process that exits by itself; its VM starts another one. */
export const exitNode = (simulation: Simulation, node: SimulatedNode): void => {
  const { drainingSince } = node.state.membership;
  const drainedMs = readClock(node.clock, simulation.now) - (drainingSince ?? Infinity);
  simulation.history.exits.push({
    at: simulation.now,
    node: node.id,
    drainedMs,
    open: listOpenRequests(simulation, node),
  });
  killNode(simulation, node, 'reset');
  const { processNumber } = node;
  schedule(simulation, simulation.now + restartDelayMs, () => {
    if (!node.alive && node.processNumber === processNumber) restartNode(simulation, node);
  });
};
