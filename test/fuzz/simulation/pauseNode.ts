import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { traceStep } from './traceStep.js';
import { scheduleSilenceChecks } from './scheduleSilenceChecks.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

/** Pauses a process; events that arrive meanwhile are processed in order when it continues. */
export const pauseNode = (
  simulation: Simulation,
  node: SimulatedNode,
  durationMs: number,
): void => {
  if (!node.alive || node.pausedUntil > simulation.now) return;
  const { processNumber } = node;
  traceStep(simulation, node.id, `process paused for ${durationMs} ms`);
  node.pausedUntil = simulation.now + durationMs;
  scheduleSilenceChecks(simulation, ({ ends }) => ends.includes(node.id));
  schedule(simulation, node.pausedUntil, () => {
    if (node.processNumber !== processNumber) return;
    traceStep(simulation, node.id, 'process continues');
    const events = node.queuedEvents;
    node.queuedEvents = [];
    events.forEach((event) => pushEvent(simulation, node, processNumber, event));
  });
};
