import type { FaultWindow } from './FaultWindow.js';
import type { Scenario } from './Scenario.js';
import type { ScenarioAction } from './ScenarioAction.js';

type WindowBuilder = (scenario: Scenario, action: ScenarioAction) => FaultWindow[];

/** Builds a fault of the VM that the step applies to. */
const createVmBuilder =
  (computeMs: (durationMs: number) => number): WindowBuilder =>
  ({ platform: { vms, now } }, { target, durationMs }) => [
    {
      scope: 'vm',
      vmId: vms[target % vms.length]!.id,
      from: now,
      until: now + computeMs(durationMs),
    },
  ];

const createBuilder =
  (
    scope: 'core' | 'elsewhere',
    computeMs: (durationMs: number) => number,
    delayMs = 0,
  ): WindowBuilder =>
  ({ platform: { now } }, { durationMs }) => [
    { scope, vmId: '', from: now + delayMs, until: now + delayMs + computeMs(durationMs) },
  ];

const keepMs = (durationMs: number): number => durationMs;

/** Builders by kind of step; a kind without one is no fault. */
const builders: Partial<Record<ScenarioAction['kind'], WindowBuilder>> = {
  // "its processes ran, with no kill, start by the bench, SIGTERM, freeze"; the start ends the fault.
  killVm: createVmBuilder(keepMs),
  suspendVm: createVmBuilder(keepMs),
  terminateVm: createVmBuilder((durationMs) => 6000 + durationMs),
  // "it had a path in both directions to the platform".
  partitionFromStore: createVmBuilder(keepMs),
  // "loss or squeeze on its links".
  partitionFromWorkers: createVmBuilder(keepMs),
  // "The core is stable while it has been without disruption for contact_ms".
  refuseStoreCalls: createBuilder('core', keepMs),
  loseAppendAnswers: createBuilder('core', keepMs),
  // As above for the VMs behind the cut; nobody else is excused.
  cutZone: ({ platform: { vms, now } }, { target, durationMs }) => {
    const until = now + 4000 + 2 * durationMs;
    return [
      { scope: 'vm', vmId: vms[target % vms.length]!.id, from: now, until },
      { scope: 'elsewhere', vmId: '', from: now, until },
    ];
  },
  // The rest disturbs the stops ("with no disruption near that time") but excuses no late start.
  delayWorkerCalls: createBuilder('elsewhere', keepMs),
  loseWorkerCalls: createBuilder('elsewhere', keepMs),
  crashWorker: createBuilder('elsewhere', (durationMs) => 5000 + durationMs),
  restartWorker: createBuilder('elsewhere', () => 0),
  partitionWorker: createBuilder('elsewhere', (durationMs) => 2 * durationMs),
  drainWorker: createBuilder('elsewhere', (durationMs) => 5000 + durationMs, 2500),
  refuseReads: createBuilder('elsewhere', (durationMs) => 1.6 * durationMs),
  delayReads: createBuilder('elsewhere', keepMs),
  expireJournal: createBuilder('elsewhere', keepMs),
  // "loss [...] on its links"; a worker that drains and a deleted entry disturb nothing.
  cutWorkerFromStore: createBuilder('elsewhere', (durationMs) => 5000 + 1.5 * durationMs),
  cutWorkerFromVms: createBuilder('elsewhere', (durationMs) => 2 * durationMs),
  lapseEntries: createBuilder('core', (durationMs) => 1.6 * durationMs),
  drainThenCut: createBuilder('elsewhere', (durationMs) => 8500 + durationMs),
  restartUnregistered: createBuilder('elsewhere', () => 0),
  restartDuringCall: createBuilder('elsewhere', () => 3500),
  refuseProgress: createBuilder('elsewhere', (durationMs) => durationMs + 4000),
  // Until the last append that was sent meanwhile is stored.
  delayAppends: createBuilder('elsewhere', (durationMs) => durationMs + 4000),
};

/** Builds the times in which the fault of a step is in progress; none if the step is no fault. */
export const buildFaultWindows: WindowBuilder = (scenario, action) =>
  builders[action.kind]?.(scenario, action) ?? [];
