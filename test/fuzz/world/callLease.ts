import type { Effect } from '../../../src/core/Effect.js';
import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';
import type { WorkerReport } from '../../../src/core/ownership/WorkerReport.js';
import { chooseDelay } from './chooseDelay.js';
import type { FakeWorker } from './FakeWorker.js';
import { findCutEnd } from './findCutEnd.js';
import { getWorkerPlace } from './getWorkerPlace.js';
import { isWorkerReachable } from './isWorkerReachable.js';
import { pushEvent } from './pushEvent.js';
import { schedule } from './schedule.js';
import { serveLease } from './serveLease.js';
import type { World } from './World.js';
import type { WorldNode } from './WorldNode.js';

type LeaseCall = Extract<WorkerCall, { kind: 'lease' }>;

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

/** Sends a lease call; the caller's time limit runs whatever becomes of the call at the worker. */
export const callLease = (
  world: World,
  node: WorldNode,
  effect: Extract<Effect, { type: 'callWorker' }>,
): void => {
  if (effect.call.kind !== 'lease') return;
  const call: LeaseCall = effect.call;
  const { life } = node;
  const worker = world.workers.get(effect.workerId)!;
  const { purpose, sentAt } = call;
  let ended = false;
  const end = (report: WorkerReport | null): void => {
    if (ended) return;
    ended = true;
    pushEvent(
      world,
      node,
      life,
      report
        ? { type: 'leaseAnswered', workerId: worker.id, purpose, sentAt, report }
        : { type: 'leaseFailed', workerId: worker.id, purpose, sentAt, error: 'timeout' },
    );
  };
  const arrive = (): void => {
    if (!isWorkerReachable(world, node, worker)) return;
    const report = serveLease(world, worker, call);
    schedule(world, world.now + chooseTravel(world), () => {
      if (isWorkerReachable(world, node, worker)) end(report);
    });
  };
  const heldMs = delayIntoCut(world, node, worker);
  schedule(world, world.now + (heldMs ?? chooseTravel(world)), arrive);
  // A call is written once to one TCP connection. A second copy of a release together with a second
  // copy of an older renewal would free a worker under its new holder; the protocol cannot tell.
  if (world.duplicateUntil > world.now && purpose !== 'release') {
    schedule(world, world.now + chooseDelay(world, 1, 4000), arrive);
  }
  schedule(world, world.now + node.state.timing.workerCallTimeoutMs, () => end(null));
};
