import { killNode } from '../simulation/killNode.js';
import { pushEvent } from '../simulation/pushEvent.js';
import { restartNode } from '../simulation/restartNode.js';
import { runUntil } from '../simulation/runUntil.js';
import { schedule } from '../simulation/schedule.js';
import { pauseNode } from '../simulation/pauseNode.js';
import { traceStep } from '../simulation/traceStep.js';
import type { Simulation } from '../simulation/Simulation.js';
import type { SimulatedNode } from '../simulation/SimulatedNode.js';
import { addPartition } from './addPartition.js';
import type { FuzzCommand } from './FuzzCommand.js';
import { proposeSettings } from './proposeSettings.js';
import { restartWorker } from './restartWorker.js';
import { cancelJob } from './cancelJob.js';
import { submitGuaranteed } from './submitGuaranteed.js';
import { submitJob } from './submitJob.js';
import { sendRequest } from './sendRequest.js';

type Runner<T extends FuzzCommand['type']> = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: T }>,
) => void;

const selectItem = <T>(items: Iterable<T>, index: number): T => {
  const all = [...items];
  return all[index % all.length]!;
};

const listVmIds = (simulation: Simulation): string[] => [
  ...new Set([...simulation.nodes.values()].map((node) => node.vmId)),
];

const restartProcess = (
  simulation: Simulation,
  node: SimulatedNode,
  peersSee: 'reset' | 'silence',
  forMs: number,
): void => {
  killNode(simulation, node, peersSee);
  const { processNumber } = node;
  schedule(simulation, simulation.now + forMs, () => {
    if (node.processNumber === processNumber) restartNode(simulation, node);
  });
};

const runners: { readonly [T in FuzzCommand['type']]: Runner<T> } = {
  request: sendRequest,
  submitJob,
  submitGuaranteed,
  cancelJob,
  leave: (simulation, { caller }) => {
    if (simulation.history.callers.size === 0) return;
    const leavingCaller = selectItem(simulation.history.callers.values(), caller);
    const node = simulation.nodes.get(leavingCaller.gateway)!;
    leavingCaller.disconnectedAt ??= simulation.now;
    pushEvent(simulation, node, node.processNumber, {
      type: 'callerGone',
      requestId: leavingCaller.requestId,
    });
  },
  advance: (simulation, { ms }) => runUntil(simulation, simulation.now + ms),
  kill: (simulation, { node, forMs }) =>
    restartProcess(simulation, selectItem(simulation.nodes.values(), node), 'reset', forMs),
  killVm: (simulation, { vm, forMs }) => {
    const vmId = selectItem(listVmIds(simulation), vm);
    [...simulation.nodes.values()]
      .filter((node) => node.vmId === vmId)
      .forEach((node) => restartProcess(simulation, node, 'silence', forMs));
  },
  stop: (simulation, { node, forMs }) =>
    pauseNode(simulation, selectItem(simulation.nodes.values(), node), forMs),
  terminate: (simulation, { node }) => {
    const target = selectItem(simulation.nodes.values(), node);
    pushEvent(simulation, target, target.processNumber, { type: 'shutdownRequested' });
  },
  cutZones: (simulation, { forMs }) => {
    const [one, ...others] = new Set([...simulation.nodes.values()].map((node) => node.zone));
    if (one !== undefined) addPartition(simulation, [[one], others], forMs);
  },
  cutVms: (simulation, { vm, other, forMs }) => {
    const vms = listVmIds(simulation);
    addPartition(simulation, [[selectItem(vms, vm)], [selectItem(vms, other)]], forMs);
  },
  cutWorkers: (simulation, { vm, workers, forMs }) => {
    // eslint-disable-next-line no-bitwise -- Each bit stands for a worker.
    const names = [...simulation.workers.keys()].filter((_, index) => (workers >> index) & 1);
    addPartition(simulation, [[selectItem(listVmIds(simulation), vm)], names], forMs);
  },
  cutLog: (simulation, { vm, forMs }) =>
    addPartition(simulation, [[selectItem(listVmIds(simulation), vm)], ['log']], forMs),
  logOutage: (simulation, { forMs }) => {
    simulation.log.outageUntil = simulation.now + forMs;
  },
  loseAppendAnswers: (simulation, { forMs }) => {
    simulation.log.lostAnswersUntil = simulation.now + forMs;
  },
  propose: proposeSettings,
  workerLeaves: (simulation, { worker }) => {
    selectItem(simulation.workers.values(), worker).leftAt ??= simulation.now;
  },
  workerRestarts: restartWorker,
  workerFails: (simulation, { worker, how, forMs }) => {
    const target = selectItem(simulation.workers.values(), worker);
    target.failureMode = how;
    target.failingUntil = simulation.now + forMs;
  },
  workerSlow: (simulation, { worker, forMs }) => {
    selectItem(simulation.workers.values(), worker).slowUntil = simulation.now + forMs;
  },
  slowCalls: (simulation, { forMs }) => {
    simulation.slowUntil = simulation.now + forMs;
  },
  duplicateCalls: (simulation, { forMs }) => {
    simulation.duplicateUntil = simulation.now + forMs;
  },
};

/** Runs one command in a simulation. */
export const runCommand = (simulation: Simulation, command: FuzzCommand): void => {
  if (command.type !== 'advance') traceStep(simulation, 'command', command);
  if ('forMs' in command) {
    simulation.faultsEndAt = Math.max(simulation.faultsEndAt, simulation.now + command.forMs);
  }
  const runner = runners[command.type] as (of: Simulation, command: FuzzCommand) => void;
  runner(simulation, command);
};
