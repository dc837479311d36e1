import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

const runMs = 3000;

/** Lets the workspace with the guarantee submit an urgent job of just the guaranteed shape. */
export const submitGuaranteed = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'submitGuaranteed' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  if (!gateway) return;
  const { guaranteedJobs: guaranteed } = simulation.history;
  const number = guaranteed.length + 1;
  guaranteed.push({ jobId: `za.g${number}`, at: simulation.now });
  pushEvent(simulation, gateway, gateway.processNumber, {
    type: 'commandRequested',
    requestId: `g${number}`,
    tokenHash: 'root-hash',
    command: {
      kind: 'submitJob',
      jobId: `g${number}`,
      workspace: 'beta',
      zone: 'za',
      spec: {
        tasks: 2,
        acceleratorsPerTask: 2,
        adjacency: 'zone',
        declaredMs: runMs,
        preemptible: false,
        urgent: true,
        payload: String(runMs),
      },
    },
  });
};
