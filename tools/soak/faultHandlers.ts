import { topics } from '../../platform/topics.js';
import { waitMs } from '../cluster/waitMs.js';
import type { FaultSpan } from './FaultSpan.js';
import type { FaultHandler } from './FaultHandler.js';
import { beginDrain } from './beginDrain.js';
import { chooseOne } from './chooseOne.js';
import { finishDrain } from './finishDrain.js';
import { noRelayFaults } from './noRelayFaults.js';
import { recordFault } from './recordFault.js';
import { restartNode } from './restartNode.js';
import { restartWorker } from './restartWorker.js';
import { runExclusively } from './runExclusively.js';
import { setFaults } from './setFaults.js';
import type { Soak } from './Soak.js';
import type { SoakRelay } from './SoakRelay.js';
import type { SoakNode } from './SoakNode.js';
import type { SoakWorker } from './SoakWorker.js';

type Scope = FaultSpan['scope'];
type NodeFault = (node: SoakNode, durationMs: number) => Promise<void>;

// The protocol's shortest time to leave.
const minDrainMs = 2000;

const killNode: NodeFault = async (node, durationMs) => {
  node.process.signal('SIGKILL');
  await node.process.exited;
  await waitMs(durationMs / 4);
  restartNode(node);
};

const pauseNode: NodeFault = async (node, durationMs) => {
  node.process.signal('SIGSTOP');
  await waitMs(durationMs);
  node.process.signal('SIGCONT');
};

const terminateNode: NodeFault = async (node, durationMs) => {
  node.process.signal('SIGTERM');
  await node.process.exited;
  await waitMs(durationMs / 4);
  restartNode(node);
};

const injectNodeFault = (
  soak: Soak,
  node: SoakNode,
  kind: string,
  inject: () => Promise<void>,
): Promise<void> =>
  runExclusively(node, () => recordFault(soak, { kind, scope: 'vm', targetId: node.id }, inject));

const createNodeHandler =
  (kind: string, inject: NodeFault): FaultHandler =>
  (soak, durationMs) => {
    const node = chooseOne(soak, soak.nodes);
    return injectNodeFault(soak, node, kind, () => inject(node, durationMs));
  };

/** Injects a fault at all VMs but one, one after another and overlapping. */
const createSeriesHandler =
  (kind: string, inject: NodeFault): FaultHandler =>
  async (soak, durationMs) => {
    const first = Math.floor(soak.random() * soak.nodes.length);
    const nodes = [...soak.nodes.slice(first), ...soak.nodes.slice(0, first)].slice(1);
    const faults = nodes.map(async (node, index) => {
      await waitMs((index * durationMs) / 2);
      await injectNodeFault(soak, node, kind, () => inject(node, durationMs));
    });
    await Promise.all(faults);
  };

const createWorkerHandler =
  (
    kind: string,
    scope: Scope,
    inject: (soak: Soak, worker: SoakWorker, durationMs: number) => Promise<void>,
  ): FaultHandler =>
  (soak, durationMs) => {
    const worker = chooseOne(soak, soak.workers);
    const fault = { kind, scope, targetId: worker.id };
    return runExclusively(worker, () =>
      recordFault(soak, fault, () => inject(soak, worker, durationMs)),
    );
  };

interface RelayFault {
  settings: Record<string, unknown>;
  /** What becomes of requests and answers; only held requests arrive after the fault. */
  effect: 'holds' | 'breaks' | 'answersHeld' | 'slows';
}

/** Settings of a relay, one of which is chosen for each fault. */
const relayFaults: RelayFault[] = [
  { settings: { cut: true, cutMode: 'freeze', cutSide: 'both' }, effect: 'holds' },
  { settings: { cut: true, cutMode: 'freeze', cutSide: 'client' }, effect: 'holds' },
  { settings: { cut: true, cutMode: 'freeze', cutSide: 'target' }, effect: 'answersHeld' },
  { settings: { cut: true, cutMode: 'reset', cutSide: 'both' }, effect: 'breaks' },
  { settings: { delayMs: 150 }, effect: 'slows' },
];

type RelayScopes = Record<RelayFault['effect'], Scope>;

const storeRelayScopes: RelayScopes = {
  holds: 'path',
  breaks: 'path',
  answersHeld: 'path',
  slows: 'other',
};
const frontRelayScopes: RelayScopes = {
  holds: 'other',
  breaks: 'other',
  answersHeld: 'other',
  slows: 'other',
};
const workerRelayScopes: RelayScopes = { ...frontRelayScopes, holds: 'orders' };

const createRelayHandler =
  (
    kind: string,
    scopes: RelayScopes,
    listRelays: (soak: Soak) => { id: string; relay: SoakRelay }[],
  ): FaultHandler =>
  (soak, durationMs) => {
    const { id, relay } = chooseOne(soak, listRelays(soak));
    const { settings, effect } = chooseOne(soak, relayFaults);
    const fault = { kind: `${kind} (${effect})`, scope: scopes[effect], targetId: id };
    return recordFault(soak, fault, async () => {
      await setFaults(relay.controlPort, settings);
      await waitMs(durationMs);
      await setFaults(relay.controlPort, noRelayFaults);
    });
  };

const createStoreHandler =
  (kind: string, faults: Record<string, unknown>, cleared: Record<string, unknown>): FaultHandler =>
  (soak, durationMs) =>
    recordFault(soak, { kind, scope: 'store', targetId: 'all' }, async () => {
      await setFaults(soak.store.port, faults);
      await waitMs(durationMs);
      await setFaults(soak.store.port, cleared);
    });

/** The store refuses one VM's reads of the journal and serves its appends. */
const refuseReads: FaultHandler = (soak, durationMs) => {
  const { id, address } = chooseOne(soak, soak.nodes);
  return recordFault(soak, { kind: 'refuseReads', scope: 'other', targetId: id }, async () => {
    await setFaults(soak.store.port, { refusedReads: { address, topic: topics.journal } });
    await waitMs(durationMs);
    await setFaults(soak.store.port, { refusedReads: null });
  });
};

/** Handlers by kind of fault; the fault is over when the promise resolves. */
export const faultHandlers: Record<string, FaultHandler> = {
  killNode: createNodeHandler('killNode', killNode),
  pauseNode: createNodeHandler('pauseNode', pauseNode),
  terminateNode: createNodeHandler('terminateNode', terminateNode),
  killNodesInSeries: createSeriesHandler('killNodesInSeries', killNode),
  pauseNodesInSeries: createSeriesHandler('pauseNodesInSeries', pauseNode),
  killAllNodes: async (soak, durationMs) => {
    const kills = soak.nodes.map((node) =>
      injectNodeFault(soak, node, 'killAllNodes', () => killNode(node, durationMs)),
    );
    await Promise.all(kills);
  },
  restartWorker: createWorkerHandler('restartWorker', 'other', (soak, worker) =>
    restartWorker(soak, worker),
  ),
  pauseWorker: createWorkerHandler('pauseWorker', 'orders', async (_soak, worker, durationMs) => {
    worker.registration.sendsHeartbeats = false;
    worker.process.signal('SIGSTOP');
    await waitMs(durationMs);
    worker.process.signal('SIGCONT');
    worker.registration.sendsHeartbeats = true;
  }),
  failWorker: createWorkerHandler('failWorker', 'other', async (_soak, worker, durationMs) => {
    await setFaults(worker.port, { failing: true });
    await waitMs(durationMs);
    await setFaults(worker.port, { failing: false });
  }),
  drainWorker: createWorkerHandler('drainWorker', 'none', async (soak, worker, durationMs) => {
    await beginDrain(soak, worker, minDrainMs + durationMs);
    await finishDrain(soak, worker, durationMs / 4);
  }),
  cutStore: createRelayHandler('cutStore', storeRelayScopes, ({ nodes }) =>
    nodes.map(({ id, storeRelay }) => ({ id, relay: storeRelay })),
  ),
  cutFront: createRelayHandler('cutFront', frontRelayScopes, ({ nodes }) =>
    nodes.map(({ id, frontendRelay }) => ({ id, relay: frontendRelay })),
  ),
  cutWorker: createRelayHandler('cutWorker', workerRelayScopes, ({ workers }) => workers),
  refuseReads,
  storeRefuses: createStoreHandler('storeRefuses', { outage: 'refuse' }, { outage: 'none' }),
  storeSilent: createStoreHandler('storeSilent', { outage: 'silent' }, { outage: 'none' }),
  storeLosesAnswers: createStoreHandler('storeLosesAnswers', { lostShare: 0.3 }, { lostShare: 0 }),
  storeSlow: createStoreHandler('storeSlow', { delayMs: 200 }, { delayMs: 0 }),
};
