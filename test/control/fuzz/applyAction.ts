import { cutZone } from '../simulation/cutZone.js';
import { scheduleAfter } from '../simulation/scheduleAfter.js';
import {
  killVm,
  publishWorkerEntry,
  startVm,
  startWorker,
  killWorker,
} from '../simulation/createFakePlatform.js';
import { simulationStartMs } from '../simulation/simulationStartMs.js';
import type { FakeVm } from '../simulation/FakeVm.js';
import type { FakeWorker } from '../simulation/FakeWorker.js';
import type { FakePlatform } from '../simulation/FakePlatform.js';
import { publishConfig } from '../simulation/publishConfig.js';
import { submitJob } from '../simulation/submitJob.js';
import type { ScenarioAction } from './ScenarioAction.js';

interface Scenario {
  platform: FakePlatform;
  /** IDs of the requests that submitted a job, by job ID. */
  requestIdsByJob: Map<string, number[]>;
  cancelledJobs: Set<string>;
}

type Handler = (scenario: Scenario, action: ScenarioAction) => void;

const getVm = ({ platform }: Scenario, { target }: ScenarioAction): FakeVm =>
  platform.vms[target % platform.vms.length]!;

const getWorker = ({ platform }: Scenario, { target }: ScenarioAction): FakeWorker =>
  platform.workers.get(`w${target % platform.workers.size}`)!;

const createSubmitHandler =
  (build: (action: ScenarioAction, now: number) => Parameters<typeof submitJob>[2]): Handler =>
  (scenario, action) => {
    const id = `${scenario.requestIdsByJob.size + 1}`;
    const vm = action.target % scenario.platform.vms.length;
    if (!scenario.platform.vms[vm]!.up) return;
    const job = build(action, scenario.platform.now);
    const requestId = submitJob(scenario.platform, id, { vm, ...job });
    scenario.requestIdsByJob.set(id, [requestId]);
    // A caller that does not know the outcome after its deadline of 3 s submits the job again at another VM.
    scheduleAfter(scenario.platform, 3200, () => {
      const answer = scenario.platform.answers.get(requestId);
      const outcomeUnknown =
        answer === undefined || (answer.type === 'refused' && answer.reason === 'store-unanswered');
      const otherVm = (vm + 1) % scenario.platform.vms.length;
      if (!outcomeUnknown || !scenario.platform.vms[otherVm]!.up) return;
      scenario.requestIdsByJob
        .get(id)!
        .push(submitJob(scenario.platform, id, { vm: otherVm, ...job }));
    });
  };

const restartVm: Handler = (scenario, action) => {
  const vm = getVm(scenario, action);
  if (!vm.up) return;
  killVm(vm);
  scheduleAfter(scenario.platform, action.durationMs, () => startVm(scenario.platform, vm));
};

const crashWorker: Handler = (scenario, action) => {
  const worker = getWorker(scenario, action);
  if (!worker.up) return;
  killWorker(scenario.platform, worker.id);
  // The entry is removed after three missed heartbeats.
  scheduleAfter(scenario.platform, 4500, () => {
    if (!scenario.platform.workers.get(worker.id)!.up)
      publishWorkerEntry(scenario.platform, worker.id, 'gone');
  });
  scheduleAfter(scenario.platform, 5000 + action.durationMs, () =>
    startWorker(scenario.platform, worker.id),
  );
};

/** Handlers by kind of step. */
const handlers: Record<ScenarioAction['kind'], Handler> = {
  submit: createSubmitHandler(({ durationMs }) => ({
    runMs: 300 + durationMs,
    steps: [{ count: 3 }],
  })),
  submitGang: createSubmitHandler(({ target, durationMs }) => ({
    queue: target % 2 === 0 ? 'u' : 'b',
    runMs: 300 + durationMs,
    steps: [{ count: 2, gang: true, sameRack: target % 3 === 0 }],
    gpu: 1 + (target % 4),
  })),
  submitSteps: createSubmitHandler(({ durationMs }) => ({
    runMs: 200 + Math.floor(durationMs / 2),
    steps: [{ count: 2 }, { count: 2, after: [0] }],
  })),
  submitScheduled: createSubmitHandler(({ target, durationMs }, now) => ({
    runMs: 200,
    steps: [{ count: 2 }, { count: 1, after: [0] }],
    schedule: {
      count: 3,
      startAt: simulationStartMs + now + target * 100,
      intervalMs: 200 + durationMs / 4,
    },
  })),
  submitCheckpointing: createSubmitHandler(({ durationMs }) => ({
    runMs: 500 + 2 * durationMs,
    gpu: 4,
    steps: [{ count: 3, checkpointing: true }],
  })),
  submitSpread: createSubmitHandler(({ target, durationMs }) => ({
    runMs: 300 + durationMs,
    steps: [{ count: 5, maxPerWorker: 1 + (target % 2) }],
  })),
  submitLabelled: createSubmitHandler(({ durationMs }) => ({
    runMs: 300 + durationMs,
    steps: [{ count: 3, requiredLabel: 'r1' }],
  })),
  // Either ends repeatedly and has to be restarted, or outlives the scenario.
  submitLongRunning: createSubmitHandler(({ target, durationMs }) => ({
    runMs: target % 2 === 0 ? 1000 + durationMs : 600_000,
    steps: [{ count: 2, longRunning: true }],
  })),
  cancel: (scenario, { target }) => {
    const ids = [...scenario.requestIdsByJob.keys()];
    const id = ids[target % Math.max(1, ids.length)];
    const vm = target % scenario.platform.vms.length;
    if (!id || !scenario.platform.vms[vm]!.up) return;
    submitJob(scenario.platform, id, { vm, operation: 'cancel' });
    scenario.cancelledJobs.add(id);
  },
  changeConfig: ({ platform }) => publishConfig(platform, platform.store.streams.config.length + 1),
  killVm: restartVm,
  suspendVm: (scenario, action) => {
    getVm(scenario, action).pausedUntil = scenario.platform.now + action.durationMs;
  },
  terminateVm: (scenario, action) => {
    const vm = getVm(scenario, action);
    scenario.platform.push(vm, { type: 'shutdownRequested' });
    // The daemon exits within its grace period of 6 s.
    scheduleAfter(scenario.platform, 6000 + action.durationMs, () => {
      if (!vm.up) startVm(scenario.platform, vm);
    });
  },
  partitionFromStore: (scenario, action) => {
    const vm = getVm(scenario, action);
    vm.partitionedFromStore = true;
    scheduleAfter(scenario.platform, action.durationMs, () => {
      vm.partitionedFromStore = false;
    });
  },
  partitionFromWorkers: (scenario, action) => {
    const vm = getVm(scenario, action);
    vm.partitionedFromWorkers = true;
    scheduleAfter(scenario.platform, action.durationMs, () => {
      vm.partitionedFromWorkers = false;
    });
  },
  refuseStoreCalls: ({ platform }, { durationMs }) => {
    platform.store.refusing = true;
    scheduleAfter(platform, durationMs, () => {
      platform.store.refusing = false;
    });
  },
  loseAppendAnswers: ({ platform }, { durationMs }) => {
    platform.store.lostAnswerShare = 0.3;
    scheduleAfter(platform, durationMs, () => {
      platform.store.lostAnswerShare = 0;
    });
  },
  delayWorkerCalls: ({ platform }, { durationMs }) => {
    platform.lateCallShare = 0.3;
    scheduleAfter(platform, durationMs, () => {
      platform.lateCallShare = 0;
    });
  },
  crashWorker,
  restartWorker: (scenario, action) => {
    const worker = getWorker(scenario, action);
    if (!worker.up) return;
    killWorker(scenario.platform, worker.id);
    startWorker(scenario.platform, worker.id);
  },
  partitionWorker: (scenario, action) => {
    const worker = getWorker(scenario, action);
    if (!worker.up || worker.partitioned) return;
    const { platform } = scenario;
    const isSameIncarnation = (): boolean =>
      platform.workers.get(worker.id) === worker && worker.up;
    worker.partitioned = true;
    // The entry is removed after three missed heartbeats, the first up to one interval after the partition.
    scheduleAfter(platform, 3000 + platform.random() * 1500, () => {
      if (worker.partitioned && isSameIncarnation())
        publishWorkerEntry(platform, worker.id, 'gone');
    });
    scheduleAfter(platform, action.durationMs * 2, () => {
      worker.partitioned = false;
      if (isSameIncarnation())
        publishWorkerEntry(platform, worker.id, worker.draining ? 'draining' : 'ready');
    });
  },
  // One VM and a third of the workers; long enough for a new leader to wait out the leases behind the cut.
  cutZone: ({ platform }, { target, durationMs }) => {
    if (platform.cutIds.size > 0) return;
    const ids = [...platform.vms.map(({ id }) => id), ...platform.workers.keys()];
    const zoneIds = ids.filter(
      (_, index) => index % platform.vms.length === target % platform.vms.length,
    );
    cutZone(platform, zoneIds, 4000 + 2 * durationMs);
  },
  drainWorker: (scenario, action) => {
    const worker = getWorker(scenario, action);
    if (!worker.up) return;
    worker.draining = true;
    if (!worker.partitioned) publishWorkerEntry(scenario.platform, worker.id, 'draining');
    scheduleAfter(scenario.platform, 2500, () => crashWorker(scenario, action));
  },
  failWorker: (scenario, action) => {
    const worker = getWorker(scenario, action);
    worker.failing = true;
    scheduleAfter(scenario.platform, action.durationMs, () => {
      worker.failing = false;
    });
  },
};

/** Applies one step of a random scenario. */
export const applyAction = (scenario: Scenario, action: ScenarioAction): void =>
  handlers[action.kind](scenario, action);
