import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

const runMs = 3000;

/** Submits an urgent job of exactly the guaranteed shape for the workspace with the guarantee. */
export const submitGuaranteed = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'submitGuaranteed' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  if (!gateway) return;
  const { guaranteedJobs } = simulation.history;
  const number = guaranteedJobs.length + 1;
  guaranteedJobs.push({ jobId: `za.g${number}`, at: simulation.now });
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
