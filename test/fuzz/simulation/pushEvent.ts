import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { simulationStartMs } from './simulationStartMs.js';
import { observeNode } from './observeNode.js';
import { readClock } from './readClock.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

// Frequent events, which would fill the trace.
const untracedTypes: ReadonlySet<string> = new Set(['tick', 'heartbeat', 'vmsListed']);
const tracedEffects: ReadonlySet<string> = new Set([
  'log',
  'dispatchAttempt',
  'relayAnswer',
  'refuseCaller',
  'resetCaller',
  'appendLog',
  'answerCommand',
  'exit',
]);

/** Delivers an event to a node: at once, or when its process continues if it is paused. */
export const pushEvent = (
  simulation: Simulation,
  node: SimulatedNode,
  processNumber: number,
  event: UntimedEvent,
): void => {
  if (!node.alive || node.processNumber !== processNumber) return;
  if (node.pausedUntil > simulation.now) {
    if (event.type !== 'tick') node.queuedEvents.push(event);
    return;
  }
  const versionBefore = node.state.settings.inForce?.version ?? -1;
  const at = readClock(node.clock, simulation.now);
  if (!untracedTypes.has(event.type)) traceStep(simulation, node.id, event);
  const timedEvent = { ...event, at, wall: simulationStartMs + simulation.now };
  const effects = simulation.reduce(node.state, timedEvent);
  effects
    .filter((effect) => tracedEffects.has(effect.type))
    .forEach((effect) => traceStep(simulation, `${node.id} ->`, effect));
  observeNode(simulation, node, event, versionBefore);
  effects.forEach((effect) => simulation.runEffect(simulation, node, effect));
};
