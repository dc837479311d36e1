import { pushEvent } from '../world/pushEvent.js';
import type { World } from '../world/World.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Lets callers cancel one job, or all of them in a wave. */
export const cancelJob = (
  world: World,
  command: Extract<FuzzCommand, { type: 'cancelJob' }>,
): void => {
  const gateway = findGateway(world, command.gateway);
  const { jobs } = world.history;
  if (jobs.length === 0 || !gateway) return;
  const chosen = command.all ? jobs : [jobs[command.job % jobs.length]!];
  chosen.forEach((jobId, index) =>
    pushEvent(world, gateway, gateway.life, {
      type: 'commandRequested',
      requestId: `c${world.nextSequence}-${index}`,
      tokenHash: 'root-hash',
      command: { kind: 'cancelJob', workspace: 'alpha', jobId: `za.${jobId}` },
    }),
  );
};
