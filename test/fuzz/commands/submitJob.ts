import { pushEvent } from '../world/pushEvent.js';
import type { World } from '../world/World.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

/** Lets a caller submit a gang job at a gateway; its payload is the run time. */
export const submitJob = (
  world: World,
  command: Extract<FuzzCommand, { type: 'submitJob' }>,
): void => {
  const gateway = findGateway(world, command.gateway);
  if (!gateway) return;
  const { jobs } = world.history;
  const { tasks, runMs, preemptible } = command;
  const number = jobs.length + 1;
  jobs.push(`j${number}`);
  pushEvent(world, gateway, gateway.life, {
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
