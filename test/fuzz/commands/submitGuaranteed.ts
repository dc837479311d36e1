import { pushEvent } from '../world/pushEvent.js';
import type { World } from '../world/World.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

const runMs = 3000;

/** Lets the workspace with the guarantee submit an urgent job of just the guaranteed shape. */
export const submitGuaranteed = (
  world: World,
  command: Extract<FuzzCommand, { type: 'submitGuaranteed' }>,
): void => {
  const gateway = findGateway(world, command.gateway);
  if (!gateway) return;
  const { guaranteed } = world.history;
  const number = guaranteed.length + 1;
  guaranteed.push({ jobId: `za.g${number}`, at: world.now });
  pushEvent(world, gateway, gateway.life, {
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
