import type { Effect } from '../../../src/core/Effect.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { findPartitionEnd } from './findPartitionEnd.js';
import { getWorkerLocation } from './getWorkerLocation.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { serveLease } from './serveLease.js';
import { serveTask } from './serveTask.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';

type CallEffect = Extract<Effect, { type: 'callWorker' }>;
type Answer = (event: UntimedEvent) => void;

const maxDelayMs = 20;
const maxSlowDelayMs = 1400;
// Share of the calls sent during a partition that the network delivers when the partition ends.
const delayedCallShare = 0.3;

const chooseNetworkDelay = (simulation: Simulation): number =>
  chooseDelay(simulation, 1, simulation.slowUntil > simulation.now ? maxSlowDelayMs : maxDelayMs);

const choosePartitionDelay = (
  simulation: Simulation,
  node: SimulatedNode,
  worker: FakeWorker,
): number | null => {
  const end = findPartitionEnd(
    simulation,
    { id: node.vmId, zone: node.zone },
    getWorkerLocation(worker),
  );
  return end !== null && simulation.random() < delayedCallShare ? end + 1 - simulation.now : null;
};

const serve = (
  simulation: Simulation,
  worker: FakeWorker,
  { workerId, call }: CallEffect,
  answer: Answer,
): void => {
  if (call.kind === 'lease') {
    const { purpose, sentAt } = call;
    const report = serveLease(simulation, worker, call);
    answer({ type: 'leaseAnswered', workerId, purpose, sentAt, report });
    return;
  }
  const { kind, taskId } = call;
  serveTask(simulation, worker, call, (accepted, checkpoint) =>
    answer({
      type: 'taskAnswered',
      workerId,
      taskId,
      call: kind,
      accepted,
      ...(checkpoint === undefined ? {} : { checkpoint }),
    }),
  );
};

const recordRenewalDelay = (
  simulation: Simulation,
  call: CallEffect['call'],
  delayMs: number,
): void => {
  if (call.kind !== 'lease' || call.renewTasks.length === 0) return;
  const { history } = simulation;
  history.maxRenewalDelayMs = Math.max(history.maxRenewalDelayMs, delayMs);
};

const describeFailure = ({ workerId, call }: CallEffect): UntimedEvent =>
  call.kind === 'lease'
    ? {
        type: 'leaseFailed',
        workerId,
        purpose: call.purpose,
        sentAt: call.sentAt,
        error: 'timeout',
      }
    : {
        type: 'taskCallFailed',
        workerId,
        taskId: call.taskId,
        call: call.kind,
        error: 'timeout',
      };

/** Sends a control call; its timeout runs independently of what happens to the call. */
export const callWorker = (
  simulation: Simulation,
  node: SimulatedNode,
  effect: CallEffect,
): void => {
  const { processNumber } = node;
  const { call } = effect;
  const worker = simulation.workers.get(effect.workerId)!;
  let ended = false;
  const end: Answer = (event) => {
    if (ended) return;
    ended = true;
    pushEvent(simulation, node, processNumber, event);
  };
  const sentAt = simulation.now;
  const arrive = (): void => {
    if (!isWorkerReachable(simulation, node, worker)) return;
    recordRenewalDelay(simulation, call, simulation.now - sentAt);
    serve(simulation, worker, effect, (event) =>
      schedule(simulation, simulation.now + chooseNetworkDelay(simulation), () => {
        if (isWorkerReachable(simulation, node, worker)) end(event);
      }),
    );
  };
  const partitionDelayMs = choosePartitionDelay(simulation, node, worker);
  schedule(
    simulation,
    simulation.now + (partitionDelayMs ?? chooseNetworkDelay(simulation)),
    arrive,
  );
  // Releases are not duplicated, because a call is written once, to one TCP connection. A second
  // copy of an older renewal followed by one of a release would free a worker of its new holder;
  // the protocol can't tell these copies from the first calls.
  const isRelease = call.kind === 'lease' && call.purpose === 'release';
  if (simulation.duplicateUntil > simulation.now && !isRelease) {
    schedule(simulation, simulation.now + chooseDelay(simulation, 1, 4000), arrive);
  }
  schedule(simulation, simulation.now + node.state.timing.workerCallTimeoutMs, () =>
    end(describeFailure(effect)),
  );
};
