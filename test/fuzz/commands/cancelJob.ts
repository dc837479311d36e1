import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Lets callers cancel one job, or all of them in a wave. */
export const cancelJob = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'cancelJob' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  const { submittedJobIds: jobs } = simulation.history;
  if (jobs.length === 0 || !gateway) return;
  const chosen = command.all ? jobs : [jobs[command.job % jobs.length]!];
  chosen.forEach((jobId, index) =>
    pushEvent(simulation, gateway, gateway.processNumber, {
      type: 'commandRequested',
      requestId: `c${simulation.nextSequence}-${index}`,
      tokenHash: 'root-hash',
      command: { kind: 'cancelJob', workspace: 'alpha', jobId: `za.${jobId}` },
    }),
  );
};
