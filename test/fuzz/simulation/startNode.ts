import { createState } from '../../../src/core/createState.js';
import { chooseDelay } from './chooseDelay.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

const tickIntervalMs = 100;
const settingsDelayMs = 50;
const maxClockOffsetMs = 1_000_000;

const tick = (simulation: Simulation, node: SimulatedNode, processNumber: number): void => {
  if (!node.alive || node.processNumber !== processNumber) return;
  pushEvent(simulation, node, processNumber, { type: 'tick' });
  schedule(simulation, simulation.now + tickIntervalMs, () =>
    tick(simulation, node, processNumber),
  );
};

/** Starts a process with new state, a new clock offset, ticks and, without recorders, a tree. */
export const startNode = (simulation: Simulation, node: SimulatedNode): void => {
  const [vmId, role] = [node.vmId, node.state.self.role];
  node.processNumber += 1;
  node.alive = true;
  node.pausedUntil = 0;
  node.queuedEvents = [];
  node.listening = true;
  node.attempts = new Map();
  node.clock.offsetMs = chooseDelay(simulation, 0, maxClockOffsetMs);
  node.state = createState(
    { vmId, zone: node.zone, role, incarnation: `i${node.processNumber}` },
    'root-hash',
  );
  const { processNumber } = node;
  schedule(simulation, simulation.now + chooseDelay(simulation, 1, tickIntervalMs), () =>
    tick(simulation, node, processNumber),
  );
  // Recorders deliver the tree themselves.
  if (simulation.nodes.has(`${vmId}/recorder`)) return;
  schedule(simulation, simulation.now + settingsDelayMs, () =>
    pushEvent(simulation, node, processNumber, {
      type: 'settingsTree',
      from: `${vmId}/recorder`,
      snapshot: simulation.snapshot,
    }),
  );
};
