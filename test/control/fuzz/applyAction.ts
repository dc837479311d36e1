import { after } from '../world/after.js';
import { killVm, listWorker, startVm, startWorker, stopWorker } from '../world/createOffice.js';
import { epochWall } from '../world/epochWall.js';
import type { FakeVm } from '../world/FakeVm.js';
import type { FakeWorker } from '../world/FakeWorker.js';
import type { Office } from '../world/Office.js';
import { publishConfig } from '../world/publishConfig.js';
import { submitJob } from '../world/submitJob.js';
import type { FaultAction } from './FaultAction.js';

interface Day {
  office: Office;
  /** Ids of the jobs that were sent, with the requests that sent them. */
  sent: Map<string, number[]>;
  cancelled: Set<string>;
}

type Handler = (day: Day, action: FaultAction) => void;

const getVm = ({ office }: Day, { target }: FaultAction): FakeVm =>
  office.vms[target % office.vms.length]!;

const getWorker = ({ office }: Day, { target }: FaultAction): FakeWorker =>
  office.workers.get(`w${target % office.workers.size}`)!;

const submit =
  (build: (action: FaultAction, now: number) => Parameters<typeof submitJob>[2]): Handler =>
  (day, action) => {
    const id = `${day.sent.size + 1}`;
    const vm = action.target % day.office.vms.length;
    if (!day.office.vms[vm]!.up) return;
    const job = build(action, day.office.now);
    const request = submitJob(day.office, id, { vm, ...job });
    day.sent.set(id, [request]);
    // A caller without an answer asks again at another VM.
    after(day.office, 3200, () => {
      const answer = day.office.answers.get(request);
      const open =
        answer === undefined || (answer.type === 'refused' && answer.reason === 'store-unanswered');
      const other = (vm + 1) % day.office.vms.length;
      if (!open || !day.office.vms[other]!.up) return;
      day.sent.get(id)!.push(submitJob(day.office, id, { vm: other, ...job }));
    });
  };

const restartVm: Handler = (day, action) => {
  const vm = getVm(day, action);
  if (!vm.up) return;
  killVm(vm);
  after(day.office, action.lastsMs, () => startVm(day.office, vm));
};

const crashWorker: Handler = (day, action) => {
  const worker = getWorker(day, action);
  if (!worker.up) return;
  stopWorker(day.office, worker.id);
  after(day.office, 4500, () => {
    if (!day.office.workers.get(worker.id)!.up) listWorker(day.office, worker.id, 'gone');
  });
  after(day.office, 5000 + action.lastsMs, () => startWorker(day.office, worker.id));
};

/** What each kind of step does. */
const handlers: Record<FaultAction['kind'], Handler> = {
  submit: submit(({ lastsMs }) => ({ runMs: 300 + lastsMs, steps: [{ count: 3 }] })),
  submitGang: submit(({ target, lastsMs }) => ({
    queue: target % 2 === 0 ? 'u' : 'b',
    runMs: 300 + lastsMs,
    steps: [{ count: 2, gang: true, sameRack: target % 3 === 0 }],
    gpu: 1 + (target % 4),
  })),
  submitSteps: submit(({ lastsMs }) => ({
    runMs: 200 + Math.floor(lastsMs / 2),
    steps: [{ count: 2 }, { count: 2, after: [0] }],
  })),
  submitTimed: submit(({ target, lastsMs }, now) => ({
    runMs: 200,
    steps: [{ count: 2 }, { count: 1, after: [0] }],
    schedule: { count: 3, startAt: epochWall + now + target * 100, intervalMs: 200 + lastsMs / 4 },
  })),
  submitSaving: submit(({ lastsMs }) => ({
    runMs: 500 + 2 * lastsMs,
    gpu: 4,
    steps: [{ count: 3, checkpointing: true }],
  })),
  submitApart: submit(({ target, lastsMs }) => ({
    runMs: 300 + lastsMs,
    steps: [{ count: 5, maxPerWorker: 1 + (target % 2) }],
  })),
  submitLabelled: submit(({ lastsMs }) => ({
    runMs: 300 + lastsMs,
    steps: [{ count: 3, requiredLabel: 'r1' }],
  })),
  // Either ends again and again, so that it has to be started anew, or outlives the day.
  submitLasting: submit(({ target, lastsMs }) => ({
    runMs: target % 2 === 0 ? 1000 + lastsMs : 600_000,
    steps: [{ count: 2, longRunning: true }],
  })),
  cancel: (day, { target }) => {
    const ids = [...day.sent.keys()];
    const id = ids[target % Math.max(1, ids.length)];
    const vm = target % day.office.vms.length;
    if (!id || !day.office.vms[vm]!.up) return;
    submitJob(day.office, id, { vm, operation: 'cancel' });
    day.cancelled.add(id);
  },
  changeConfig: ({ office }) => publishConfig(office, office.store.streams.config.length + 1),
  kill: restartVm,
  freeze: (day, action) => {
    getVm(day, action).frozenUntil = day.office.now + action.lastsMs;
  },
  terminate: (day, action) => {
    const vm = getVm(day, action);
    day.office.push(vm, { type: 'shutdownRequested' });
    after(day.office, 6000 + action.lastsMs, () => {
      if (!vm.up) startVm(day.office, vm);
    });
  },
  cutStore: (day, action) => {
    const vm = getVm(day, action);
    vm.cutFromStore = true;
    after(day.office, action.lastsMs, () => {
      vm.cutFromStore = false;
    });
  },
  cutWorkers: (day, action) => {
    const vm = getVm(day, action);
    vm.cutFromWorkers = true;
    after(day.office, action.lastsMs, () => {
      vm.cutFromWorkers = false;
    });
  },
  storeDown: ({ office }, { lastsMs }) => {
    office.store.down = true;
    after(office, lastsMs, () => {
      office.store.down = false;
    });
  },
  answersLost: ({ office }, { lastsMs }) => {
    office.store.lostShare = 0.3;
    after(office, lastsMs, () => {
      office.store.lostShare = 0;
    });
  },
  ordersLate: ({ office }, { lastsMs }) => {
    office.lateShare = 0.3;
    after(office, lastsMs, () => {
      office.lateShare = 0;
    });
  },
  crashWorker,
  rebirth: (day, action) => {
    const worker = getWorker(day, action);
    if (!worker.up) return;
    stopWorker(day.office, worker.id);
    startWorker(day.office, worker.id);
  },
  cutWorkerOff: (day, action) => {
    const worker = getWorker(day, action);
    if (!worker.up || worker.cutOff) return;
    const { office } = day;
    const isSame = (): boolean => office.workers.get(worker.id) === worker && worker.up;
    worker.cutOff = true;
    // Three heartbeats are missing, the first up to one heartbeat after the cut.
    after(office, 3000 + office.random() * 1500, () => {
      if (worker.cutOff && isSame()) listWorker(office, worker.id, 'gone');
    });
    after(office, action.lastsMs * 2, () => {
      worker.cutOff = false;
      if (isSame()) listWorker(office, worker.id, worker.draining ? 'draining' : 'ready');
    });
  },
  drainWorker: (day, action) => {
    const worker = getWorker(day, action);
    if (!worker.up) return;
    worker.draining = true;
    if (!worker.cutOff) listWorker(day.office, worker.id, 'draining');
    after(day.office, 2500, () => crashWorker(day, action));
  },
  failWorker: (day, action) => {
    const worker = getWorker(day, action);
    worker.failing = true;
    after(day.office, action.lastsMs, () => {
      worker.failing = false;
    });
  },
};

/** Does one step of a random day. */
export const applyAction = (day: Day, action: FaultAction): void =>
  handlers[action.kind](day, action);
