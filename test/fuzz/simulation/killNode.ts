import { closeLinkEnd } from './closeLinkEnd.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import { scheduleSilenceChecks } from './scheduleSilenceChecks.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const resetCallers = (simulation: Simulation, node: SimulatedNode): void =>
  simulation.history.callers.forEach((caller) => {
    const last = caller.responses.at(-1);
    const open = !last || (last.type === 'answer' && !last.complete);
    if (caller.gateway !== node.id || caller.disconnectedAt !== null || !open) return;
    caller.responses.push({ type: 'reset', at: simulation.now, byGateway: false });
  });

const closePeerLinks = (simulation: Simulation, node: SimulatedNode): void =>
  simulation.links
    .filter(({ ends }) => ends.includes(node.id))
    .forEach((link) => {
      const { generation } = link;
      const side = link.ends[0] === node.id ? 1 : 0;
      schedule(simulation, simulation.now + 1, () => {
        if (link.generation === generation) closeLinkEnd(simulation, link, side);
      });
    });

/**
 * Ends a process at once. Its peers see a connection reset, or only silence if its whole VM ends.
 */
export const killNode = (
  simulation: Simulation,
  node: SimulatedNode,
  peersSee: 'reset' | 'silence',
): void => {
  if (!node.alive) return;
  traceStep(simulation, node.id, `process ends (${peersSee})`);
  node.alive = false;
  node.queuedEvents = [];
  resetCallers(simulation, node);
  if (peersSee === 'reset') closePeerLinks(simulation, node);
  else scheduleSilenceChecks(simulation, ({ ends }) => ends.includes(node.id));
};
