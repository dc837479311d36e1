import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Submits a gang job at a gateway; its payload is its run time. */
export const submitJob = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'submitJob' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  if (!gateway) return;
  const { submittedJobIds } = simulation.history;
  const { tasks, runMs, preemptible } = command;
  const number = submittedJobIds.length + 1;
  submittedJobIds.push(`j${number}`);
  pushEvent(simulation, gateway, gateway.processNumber, {
    type: 'commandRequested',
    requestId: `s${number}`,
    tokenHash: 'root-hash',
    command: {
      kind: 'submitJob',
      jobId: `j${number}`,
      workspace: 'alpha',
      zone: 'za',
      spec: {
        tasks,
        acceleratorsPerTask: 1,
        adjacency: 'zone',
        declaredMs: runMs,
        preemptible,
        urgent: false,
        payload: String(runMs),
      },
    },
  });
};
