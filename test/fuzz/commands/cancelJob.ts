import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Cancels one submitted job, or all of them at once. */
export const cancelJob = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'cancelJob' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  const { submittedJobIds } = simulation.history;
  if (submittedJobIds.length === 0 || !gateway) return;
  const cancelledJobIds = command.all
    ? submittedJobIds
    : [submittedJobIds[command.job % submittedJobIds.length]!];
  cancelledJobIds.forEach((jobId, index) =>
    pushEvent(simulation, gateway, gateway.processNumber, {
      type: 'commandRequested',
      requestId: `c${simulation.nextSequence}-${index}`,
      tokenHash: 'root-hash',
      command: { kind: 'cancelJob', workspace: 'alpha', jobId: `za.${jobId}` },
    }),
  );
};
