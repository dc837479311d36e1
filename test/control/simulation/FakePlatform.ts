import type { StoreLimits } from '../../../src/control/settings/StoreLimits.js';
import type { Effect } from '../../../src/control/Effect.js';
import type { UntimedEvent } from '../../../src/control/UntimedEvent.js';
import type { CallerAnswer } from '../../../src/control/callers/CallerAnswer.js';
import type { WorkerCall } from '../../../src/control/workers/WorkerCall.js';
import type { FakeGang } from './FakeGang.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeStore } from './FakeStore.js';
import type { FakeVm } from './FakeVm.js';
import type { FakeWorker } from './FakeWorker.js';

/** A fake platform with its daemons, simulated on virtual time. */
export interface FakePlatform {
  /** Virtual time, in milliseconds since the simulation began. */
  now: number;
  store: FakeStore;
  vms: FakeVm[];
  workers: Map<string, FakeWorker>;
  /** All runs that workers have started. */
  runs: FakeRun[];
  /** Gangs by the task prefix of their step and their run number, joined by a slash. */
  gangs: Map<string, FakeGang>;
  /** Answers to callers, by request ID. */
  answers: Map<number, CallerAnswer>;
  /** Virtual times of these answers, by request ID. */
  answerTimes: Map<number, number>;
  logs: { at: number; vmId: string; code: string; fields: Record<string, unknown> }[];
  /** Actions that run at a later virtual time, ordered by it; those of the same time in the order of their creation. */
  scheduledActions: { at: number; action: () => void }[];
  /** Violations of guarantees that were detected during the simulation. */
  violations: string[];
  /** Maximum lease that workers grant. */
  maxLeaseMs: number;
  /** Sizes that the store accepts. */
  storeLimits: StoreLimits;
  /** Characters by which checkpoints are longer than they need to be. */
  checkpointPadding: number;
  /** IDs of the VMs and workers in a zone that is cut off: they reach each other only, and not the store. */
  cutIds: Set<string>;
  /** IDs of the workers that can't write to the store; the VMs reach them unless another cut prevents it. */
  storeCutWorkerIds: Set<string>;
  /** IDs of the workers that no VM reaches; they write to the store unless another cut prevents it. */
  vmCutWorkerIds: Set<string>;
  /** Called with each start and stop as it is sent. */
  callObservers: Set<(workerId: string, call: WorkerCall) => void>;
  /** Share of starts and stops that are unanswered and applied only after their timeout. */
  lateCallShare: number;
  /** Whether such a call is applied by a new incarnation if its worker has restarted; otherwise it is lost. */
  lateCallsReachRestarted?: boolean;
  /** Share of starts and stops that are unanswered and never applied. */
  lostCallShare: number;
  /** Seeded generator of uniform numbers in [0, 1). */
  random: () => number;
  /** Runs an effect of a VM's reducer. */
  runEffect: (vm: FakeVm, effect: Effect) => void;
  /** Delivers an event to a VM; later if the VM is suspended, never if it is down. */
  push: (vm: FakeVm, event: UntimedEvent) => void;
}
