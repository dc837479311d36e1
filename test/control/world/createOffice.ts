import { createState } from '../../../src/control/createState.js';
import { reduce } from '../../../src/control/reduce.js';
import type { Effect } from '../../../src/control/Effect.js';
import type { StreamName } from '../../../src/control/streams/StreamName.js';
import { after } from './after.js';
import type { FakeVm } from './FakeVm.js';
import { epochWall } from './epochWall.js';
import { createRandom } from '../../fuzz/world/createRandom.js';
import type { Office } from './Office.js';
import { endRun } from './endRun.js';
import { publishConfig } from './publishConfig.js';
import { serveStore, storeRecord } from './serveStore.js';
import { serveWorker } from './serveWorker.js';
import { settleWorker } from './settleWorker.js';

const tickMs = 100;

const usualLeaseMs = 6000;
const usualCores = 0.675;

const bounds = {
  statusKeepMs: 120_000,
  graceMs: 6000,
  heartbeatMs: 1500,
};

const runEffect = (office: Office, vm: FakeVm, effect: Effect): void => {
  if (effect.type === 'readStream' || effect.type === 'readPage' || effect.type === 'append') {
    serveStore(office, vm, effect);
  } else if (effect.type === 'callWorker') serveWorker(office, vm, effect);
  else if (effect.type === 'answerCaller') office.answers.set(effect.requestId, effect.answer);
  else if (effect.type === 'exit') {
    const open = vm.state.callers.open.size;
    if (open > 0) office.violations.push(`${vm.id} left with ${open} requests open`);
    vm.up = false;
    vm.life += 1;
  } else if (effect.type === 'log') {
    office.logs.push({ at: office.now, vmId: vm.id, code: effect.code, fields: effect.fields });
  }
};

const push: (office: Office, ...args: Parameters<Office['push']>) => void = (office, vm, event) => {
  if (!vm.up) return;
  if (office.now < vm.frozenUntil) {
    after(office, vm.frozenUntil - office.now, () => office.push(vm, event));
    return;
  }
  const timed = { ...event, at: office.now, wall: epochWall + office.now };
  const before = vm.state.config?.version ?? 0;
  reduce(vm.state, timed).forEach((effect) => office.runEffect(vm, effect));
  const version = vm.state.config?.version ?? 0;
  if (version < before) office.violations.push(`${vm.id} goes back from ${before} to ${version}`);
};

/** Starts, or starts anew, the daemon of a VM. */
export const startVm = (office: Office, vm: FakeVm): void => {
  vm.up = true;
  vm.life += 1;
  const { life } = vm;
  vm.state = createState(
    { vmId: vm.id, zone: 'z', cores: vm.cores, incarnation: `${vm.id}-${life}` },
    { ...bounds, maxLeaseMs: office.maxLeaseMs },
  );
  office.push(vm, { type: 'started' });
  const tick = (): void => {
    if (vm.life !== life) return;
    office.push(vm, { type: 'tick' });
    after(office, tickMs, tick);
  };
  after(office, office.random() * tickMs, tick);
};

/** Kills the daemon of a VM. */
export const killVm = (vm: FakeVm): void => {
  vm.up = false;
  vm.life += 1;
};

/** Writes a worker's registry entry, or removes it. */
export const listWorker = (
  office: Office,
  id: string,
  state: 'ready' | 'draining' | 'gone',
): void => {
  const worker = office.workers.get(id)!;
  const entry = state === 'gone' ? null : { ...worker.entry, state };
  const decoded = { type: 'worker', id, entry };
  storeRecord(office, 'workers', { key: id, value: Buffer.alloc(0), decoded });
};

/** Starts, or starts anew, a worker, and lists it in the registry. */
export const startWorker = (office: Office, id: string, gpu = 8): void => {
  const number = Number(id.slice(1));
  const entry = {
    service: 'svc',
    address: `10.0.0.${number}:80`,
    zone: 'z',
    state: 'ready' as const,
    capacity: { cpu: 64_000, memMb: 131_072, gpu },
    labels: ['a', `r${Math.floor(number / 4)}`],
    born: Math.round(epochWall + office.now),
  };
  office.workers.set(id, {
    id,
    entry,
    up: true,
    draining: false,
    cutOff: false,
    bootAt: office.now,
    token: 0,
    leaseUntil: 0,
    running: new Map(),
    ended: [],
    lastEnd: 0,
    over: new Map(),
    failing: false,
    speed: 1,
    hanging: false,
    waiters: new Set(),
  });
  listWorker(office, id, 'ready');
};

/** Ends a worker and everything that runs on it. */
export const stopWorker = (office: Office, id: string): void => {
  const worker = office.workers.get(id)!;
  // Behind a cut nobody has asked it for a while.
  settleWorker(office, worker);
  worker.up = false;
  [...worker.running.values()].forEach((run) => endRun(office, run, 'gone'));
};

interface OfficeOptions {
  vms: number;
  workers: number;
  seed?: number;
  maxLeaseMs?: number;
  /** Cores of each VM. */
  cores?: number[];
}

/** Creates an office of VMs and workers around an empty store. */
export const createOffice = (options: OfficeOptions): Office => {
  const maxLeaseMs = options.maxLeaseMs ?? usualLeaseMs;
  const forEachStream = <T>(create: () => T): Record<StreamName, T> => ({
    config: create(),
    journal: create(),
    runs: create(),
    claims: create(),
    workers: create(),
  });
  const createFence = () => ({ epoch: 0, sequence: -1, lastAnswer: { offset: 0, end: 0 } });
  const office: Office = {
    now: 0,
    store: {
      streams: forEachStream(() => []),
      readers: forEachStream(() => []),
      fences: forEachStream(createFence),
      down: false,
      silent: false,
      lostShare: 0,
    },
    vms: [],
    workers: new Map(),
    runs: [],
    gangs: new Map(),
    answers: new Map(),
    logs: [],
    queue: [],
    order: 0,
    violations: [],
    maxLeaseMs,
    lateShare: 0,
    random: createRandom(options.seed ?? 1),
    runEffect: (vm, effect) => runEffect(office, vm, effect),
    push: (vm, event) => push(office, vm, event),
  };
  publishConfig(office, 1);
  for (let number = 0; number < options.workers; number += 1) startWorker(office, `w${number}`);
  for (let number = 0; number < options.vms; number += 1) {
    const vm: FakeVm = {
      id: `vm${number}`,
      state: createState(
        { vmId: '', zone: '', cores: 1, incarnation: '' },
        { ...bounds, maxLeaseMs },
      ),
      cores: options.cores?.[number] ?? usualCores,
      up: false,
      cutFromStore: false,
      cutFromWorkers: false,
      frozenUntil: 0,
      life: 0,
    };
    office.vms.push(vm);
    startVm(office, vm);
  }
  return office;
};
