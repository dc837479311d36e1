import type { Effect } from '../../../src/control/Effect.js';
import type { UntimedEvent } from '../../../src/control/UntimedEvent.js';
import type { CallerAnswer } from '../../../src/control/callers/CallerAnswer.js';
import type { FakeGang } from './FakeGang.js';
import type { FakeRun } from './FakeRun.js';
import type { FakeStore } from './FakeStore.js';
import type { FakeVm } from './FakeVm.js';
import type { FakeWorker } from './FakeWorker.js';

/** A fake platform with its daemons, simulated on virtual time. */
export interface FakePlatform {
  now: number;
  store: FakeStore;
  vms: FakeVm[];
  workers: Map<string, FakeWorker>;
  /** All runs that workers have started. */
  runs: FakeRun[];
  /** Gangs by step name and run number. */
  gangs: Map<string, FakeGang>;
  answers: Map<number, CallerAnswer>;
  logs: { at: number; vmId: string; code: string; fields: Record<string, unknown> }[];
  scheduledActions: { at: number; sequence: number; action: () => void }[];
  sequence: number;
  /** Violations of guarantees that were detected during the simulation. */
  violations: string[];
  /** Maximum lease that workers grant. */
  maxLeaseMs: number;
  /** Share of starts and stops that are unanswered and applied seconds later. */
  lateCallShare: number;
  random: () => number;
  runEffect: (vm: FakeVm, effect: Effect) => void;
  push: (vm: FakeVm, event: UntimedEvent) => void;
}
