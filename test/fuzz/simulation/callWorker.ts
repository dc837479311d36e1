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

const mostTravelMs = 20;
const mostSlowTravelMs = 1400;
// Share of the calls sent into a cut that the network delivers when the cut ends.
const heldShare = 0.3;

const chooseTravel = (simulation: Simulation): number =>
  chooseDelay(
    simulation,
    1,
    simulation.slowUntil > simulation.now ? mostSlowTravelMs : mostTravelMs,
  );

const delayIntoCut = (
  simulation: Simulation,
  node: SimulatedNode,
  worker: FakeWorker,
): number | null => {
  const end = findPartitionEnd(
    simulation,
    { id: node.vmId, zone: node.zone },
    getWorkerLocation(worker),
  );
  return end !== null && simulation.random() < heldShare ? end + 1 - simulation.now : null;
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

const noteTravel = (simulation: Simulation, call: CallEffect['call'], travelMs: number): void => {
  if (call.kind !== 'lease' || call.renewTasks.length === 0) return;
  const { history } = simulation;
  history.maxRenewalDelayMs = Math.max(history.maxRenewalDelayMs, travelMs);
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

/** Sends a control call; the caller's time limit runs whatever becomes of the call at the worker. */
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
    noteTravel(simulation, call, simulation.now - sentAt);
    serve(simulation, worker, effect, (event) =>
      schedule(simulation, simulation.now + chooseTravel(simulation), () => {
        if (isWorkerReachable(simulation, node, worker)) end(event);
      }),
    );
  };
  const heldMs = delayIntoCut(simulation, node, worker);
  schedule(simulation, simulation.now + (heldMs ?? chooseTravel(simulation)), arrive);
  // A call is written once to one TCP connection. A second copy of a release together with a second
  // copy of an older renewal would free a worker under its new holder; the protocol cannot tell.
  const released = call.kind === 'lease' && call.purpose === 'release';
  if (simulation.duplicateUntil > simulation.now && !released) {
    schedule(simulation, simulation.now + chooseDelay(simulation, 1, 4000), arrive);
  }
  schedule(simulation, simulation.now + node.state.timing.workerCallTimeoutMs, () =>
    end(describeFailure(effect)),
  );
};
