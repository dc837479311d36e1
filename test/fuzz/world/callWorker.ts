import type { Effect } from '../../../src/core/Effect.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { findCutEnd } from './findCutEnd.js';
import { getWorkerPlace } from './getWorkerPlace.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { serveLease } from './serveLease.js';
import { serveTask } from './serveTask.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

type CallEffect = Extract<Effect, { type: 'callWorker' }>;
type Answer = (event: UntimedEvent) => void;

const mostTravelMs = 20;
const mostSlowTravelMs = 1400;
// Share of the calls sent into a cut that the network delivers when the cut ends.
const heldShare = 0.3;

const chooseTravel = (world: World): number =>
  chooseDelay(world, 1, world.slowUntil > world.now ? mostSlowTravelMs : mostTravelMs);

const delayIntoCut = (world: World, node: WorldNode, worker: FakeWorker): number | null => {
  const end = findCutEnd(world, { id: node.vmId, zone: node.zone }, getWorkerPlace(worker));
  return end !== null && world.random() < heldShare ? end + 1 - world.now : null;
};

const serve = (
  world: World,
  worker: FakeWorker,
  { workerId, call }: CallEffect,
  answer: Answer,
): void => {
  if (call.kind === 'lease') {
    const { purpose, sentAt } = call;
    const report = serveLease(world, worker, call);
    answer({ type: 'leaseAnswered', workerId, purpose, sentAt, report });
    return;
  }
  const { kind, taskId } = call;
  serveTask(world, worker, call, (accepted, checkpoint) =>
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

const noteTravel = (world: World, call: CallEffect['call'], travelMs: number): void => {
  if (call.kind !== 'lease' || call.renewTasks.length === 0) return;
  const { history } = world;
  history.renewalTravelMs = Math.max(history.renewalTravelMs, travelMs);
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
export const callWorker = (world: World, node: WorldNode, effect: CallEffect): void => {
  const { life } = node;
  const { call } = effect;
  const worker = world.workers.get(effect.workerId)!;
  let ended = false;
  const end: Answer = (event) => {
    if (ended) return;
    ended = true;
    pushEvent(world, node, life, event);
  };
  const sentAt = world.now;
  const arrive = (): void => {
    if (!isWorkerReachable(world, node, worker)) return;
    noteTravel(world, call, world.now - sentAt);
    serve(world, worker, effect, (event) =>
      schedule(world, world.now + chooseTravel(world), () => {
        if (isWorkerReachable(world, node, worker)) end(event);
      }),
    );
  };
  const heldMs = delayIntoCut(world, node, worker);
  schedule(world, world.now + (heldMs ?? chooseTravel(world)), arrive);
  // A call is written once to one TCP connection. A second copy of a release together with a second
  // copy of an older renewal would free a worker under its new holder; the protocol cannot tell.
  const released = call.kind === 'lease' && call.purpose === 'release';
  if (world.duplicateUntil > world.now && !released) {
    schedule(world, world.now + chooseDelay(world, 1, 4000), arrive);
  }
  schedule(world, world.now + node.state.timing.workerCallTimeoutMs, () =>
    end(describeFailure(effect)),
  );
};
