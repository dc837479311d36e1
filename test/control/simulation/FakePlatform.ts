import type { Effect } from '../../../src/control/Effect.js';
import type { UntimedEvent } from '../../../src/control/UntimedEvent.js';
import type { CallerAnswer } from '../../../src/control/callers/CallerAnswer.js';
import type { FakeGang } from './FakeGang.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeStore } from './FakeStore.js';
import type { FakeVm } from './FakeVm.js';
import type { FakeWorker } from './FakeWorker.js';

/** The whole fake platform on virtual time. */
export interface FakePlatform {
  now: number;
  store: FakeStore;
  vms: FakeVm[];
  workers: Map<string, FakeWorker>;
  /** Every run that a worker began. */
  runs: FakeRun[];
  /** Gangs by the name of their step and the number of their run. */
  gangs: Map<string, FakeGang>;
  answers: Map<number, CallerAnswer>;
  logs: { at: number; vmId: string; code: string; fields: Record<string, unknown> }[];
  scheduledActions: { at: number; sequence: number; action: () => void }[];
  sequence: number;
  /** What a VM did against its promises, noted when it happened. */
  violations: string[];
  /** Longest lease that workers grant. */
  maxLeaseMs: number;
  /** Share of orders to workers that are not answered and carried out seconds later. */
  lateCallShare: number;
  random: () => number;
  runEffect: (vm: FakeVm, effect: Effect) => void;
  push: (vm: FakeVm, event: UntimedEvent) => void;
}
