import { waitMs } from '../cluster/waitMs.js';
import { publishWorkerEntry } from './publishWorkerEntry.js';
import { restartWorker } from './restartWorker.js';
import { setFaults } from './setFaults.js';
import type { Soak } from './Soak.js';
import type { SoakRelay } from './SoakRelay.js';
import type { SoakNode } from './SoakNode.js';
import type { SoakWorker } from './SoakWorker.js';
import { startNode } from './startNode.js';

type FaultHandler = (soak: Soak, durationMs: number) => Promise<void>;

const chooseOne = <T>(soak: Soak, items: readonly T[]): T =>
  items[Math.floor(soak.random() * items.length)]!;

/** Injects a fault unless another one is in progress at the process: its signals depend on their order. */
const runExclusively = async (
  target: { faultInProgress: boolean },
  inject: () => Promise<void>,
): Promise<void> => {
  if (target.faultInProgress) return;
  target.faultInProgress = true;
  await inject();
  target.faultInProgress = false;
};

const killNode = async (node: SoakNode, durationMs: number): Promise<void> => {
  node.process.signal('SIGKILL');
  await node.process.exited;
  await waitMs(durationMs / 4);
  node.process = startNode(node);
};

const createNodeHandler =
  (inject: (node: SoakNode, durationMs: number) => Promise<void>): FaultHandler =>
  (soak, durationMs) => {
    const node = chooseOne(soak, soak.nodes);
    return runExclusively(node, () => inject(node, durationMs));
  };

const createWorkerHandler =
  (inject: (soak: Soak, worker: SoakWorker, durationMs: number) => Promise<void>): FaultHandler =>
  (soak, durationMs) => {
    const worker = chooseOne(soak, soak.workers);
    return runExclusively(worker, () => inject(soak, worker, durationMs));
  };

/** Settings of a relay, one of which is chosen for each fault. */
const relayFaults: Record<string, unknown>[] = [
  { cut: true, cutMode: 'freeze', cutSide: 'both' },
  { cut: true, cutMode: 'freeze', cutSide: 'client' },
  { cut: true, cutMode: 'freeze', cutSide: 'target' },
  { cut: true, cutMode: 'reset', cutSide: 'both' },
  { delayMs: 150 },
];
const noRelayFaults = { cut: false, cutMode: 'freeze', cutSide: 'both', delayMs: 0 };

const createRelayHandler =
  (listRelays: (soak: Soak) => SoakRelay[]): FaultHandler =>
  async (soak, durationMs) => {
    const { controlPort } = chooseOne(soak, listRelays(soak));
    await setFaults(controlPort, chooseOne(soak, relayFaults));
    await waitMs(durationMs);
    await setFaults(controlPort, noRelayFaults);
  };

const createStoreHandler =
  (faults: Record<string, unknown>, cleared: Record<string, unknown>): FaultHandler =>
  async (soak, durationMs) => {
    await setFaults(soak.store.port, faults);
    await waitMs(durationMs);
    await setFaults(soak.store.port, cleared);
  };

/** Handlers by kind of fault; the fault is over when the promise resolves. */
export const faultHandlers: Record<string, FaultHandler> = {
  killNode: createNodeHandler(killNode),
  pauseNode: createNodeHandler(async (node, durationMs) => {
    node.process.signal('SIGSTOP');
    await waitMs(durationMs);
    node.process.signal('SIGCONT');
  }),
  terminateNode: createNodeHandler(async (node, durationMs) => {
    node.process.signal('SIGTERM');
    await node.process.exited;
    await waitMs(durationMs / 4);
    node.process = startNode(node);
  }),
  killAllNodes: async (soak, durationMs) => {
    const nodes = soak.nodes.filter(({ faultInProgress }) => !faultInProgress);
    await Promise.all(nodes.map((node) => runExclusively(node, () => killNode(node, durationMs))));
  },
  restartWorker: createWorkerHandler((soak, worker) => restartWorker(soak, worker)),
  pauseWorker: createWorkerHandler(async (_soak, worker, durationMs) => {
    worker.process.signal('SIGSTOP');
    await waitMs(durationMs);
    worker.process.signal('SIGCONT');
  }),
  failWorker: createWorkerHandler(async (_soak, worker, durationMs) => {
    await setFaults(worker.port, { failing: true });
    await waitMs(durationMs);
    await setFaults(worker.port, { failing: false });
  }),
  drainWorker: createWorkerHandler(async (soak, worker) => {
    await publishWorkerEntry(soak, worker, 'draining');
    await waitMs(2500);
    await restartWorker(soak, worker);
  }),
  cutStore: createRelayHandler(({ nodes }) => nodes.map(({ storeRelay }) => storeRelay)),
  cutFront: createRelayHandler(({ nodes }) => nodes.map(({ frontendRelay }) => frontendRelay)),
  cutWorker: createRelayHandler(({ workers }) => workers.map(({ relay }) => relay)),
  storeRefuses: createStoreHandler({ outage: 'refuse' }, { outage: 'none' }),
  storeSilent: createStoreHandler({ outage: 'silent' }, { outage: 'none' }),
  storeLosesAnswers: createStoreHandler({ lostShare: 0.3 }, { lostShare: 0 }),
  storeSlow: createStoreHandler({ delayMs: 200 }, { delayMs: 0 }),
};
