import { killNode } from '../world/killNode.js';
import { pushEvent } from '../world/pushEvent.js';
import { restartNode } from '../world/restartNode.js';
import { runUntil } from '../world/runUntil.js';
import { schedule } from '../world/schedule.js';
import { stopNode } from '../world/stopNode.js';
import { traceStep } from '../world/traceStep.js';
import type { World } from '../world/World.js';
import type { WorldNode } from '../world/WorldNode.js';
import { addCut } from './addCut.js';
import type { FuzzCommand } from './FuzzCommand.js';
import { proposeSettings } from './proposeSettings.js';
import { restartWorker } from './restartWorker.js';
import { cancelJob } from './cancelJob.js';
import { submitGuaranteed } from './submitGuaranteed.js';
import { submitJob } from './submitJob.js';
import { sendRequest } from './sendRequest.js';

type Runner<T extends FuzzCommand['type']> = (
  world: World,
  command: Extract<FuzzCommand, { type: T }>,
) => void;

const choose = <T>(items: Iterable<T>, index: number): T => {
  const all = [...items];
  return all[index % all.length]!;
};

const listVmIds = (world: World): string[] => [
  ...new Set([...world.nodes.values()].map((node) => node.vmId)),
];

const endProcess = (
  world: World,
  node: WorldNode,
  seen: 'reset' | 'silence',
  forMs: number,
): void => {
  killNode(world, node, seen);
  const { life } = node;
  schedule(world, world.now + forMs, () => {
    if (node.life === life) restartNode(world, node);
  });
};

const runners: { readonly [T in FuzzCommand['type']]: Runner<T> } = {
  request: sendRequest,
  submitJob,
  submitGuaranteed,
  cancelJob,
  leave: (world, { caller }) => {
    if (world.history.callers.size === 0) return;
    const left = choose(world.history.callers.values(), caller);
    const node = world.nodes.get(left.gateway)!;
    left.goneAt ??= world.now;
    pushEvent(world, node, node.life, { type: 'callerGone', requestId: left.requestId });
  },
  advance: (world, { ms }) => runUntil(world, world.now + ms),
  kill: (world, { node, forMs }) =>
    endProcess(world, choose(world.nodes.values(), node), 'reset', forMs),
  killVm: (world, { vm, forMs }) => {
    const vmId = choose(listVmIds(world), vm);
    [...world.nodes.values()]
      .filter((node) => node.vmId === vmId)
      .forEach((node) => endProcess(world, node, 'silence', forMs));
  },
  stop: (world, { node, forMs }) => stopNode(world, choose(world.nodes.values(), node), forMs),
  terminate: (world, { node }) => {
    const target = choose(world.nodes.values(), node);
    pushEvent(world, target, target.life, { type: 'shutdownRequested' });
  },
  cutZones: (world, { forMs }) => {
    const [one, ...others] = new Set([...world.nodes.values()].map((node) => node.zone));
    if (one !== undefined) addCut(world, [[one], others], forMs);
  },
  cutVms: (world, { vm, other, forMs }) => {
    const vms = listVmIds(world);
    addCut(world, [[choose(vms, vm)], [choose(vms, other)]], forMs);
  },
  cutWorkers: (world, { vm, workers, forMs }) => {
    // eslint-disable-next-line no-bitwise -- Each bit stands for a worker.
    const names = [...world.workers.keys()].filter((_, index) => (workers >> index) & 1);
    addCut(world, [[choose(listVmIds(world), vm)], names], forMs);
  },
  cutLog: (world, { vm, forMs }) => addCut(world, [[choose(listVmIds(world), vm)], ['log']], forMs),
  logOutage: (world, { forMs }) => {
    world.log.outageUntil = world.now + forMs;
  },
  loseAppendAnswers: (world, { forMs }) => {
    world.log.lostAnswersUntil = world.now + forMs;
  },
  propose: proposeSettings,
  workerLeaves: (world, { worker }) => {
    choose(world.workers.values(), worker).leftAt ??= world.now;
  },
  workerRestarts: restartWorker,
  workerFails: (world, { worker, how, forMs }) => {
    const target = choose(world.workers.values(), worker);
    target.failing = how;
    target.failingUntil = world.now + forMs;
  },
  workerSlow: (world, { worker, forMs }) => {
    choose(world.workers.values(), worker).slowUntil = world.now + forMs;
  },
  slowCalls: (world, { forMs }) => {
    world.slowUntil = world.now + forMs;
  },
  duplicateCalls: (world, { forMs }) => {
    world.duplicateUntil = world.now + forMs;
  },
};

/** Carries out one command on a world. */
export const runCommand = (world: World, command: FuzzCommand): void => {
  if (command.type !== 'advance') traceStep(world, 'command', command);
  if ('forMs' in command) {
    world.faultsEndAt = Math.max(world.faultsEndAt, world.now + command.forMs);
  }
  const runner = runners[command.type] as (of: World, command: FuzzCommand) => void;
  runner(world, command);
};
