import { waitMs } from '../office/waitMs.js';
import { publishWorker } from './publishWorker.js';
import { restartWorker } from './restartWorker.js';
import { setFaults } from './setFaults.js';
import type { Soak } from './Soak.js';
import type { SoakLink } from './SoakLink.js';
import type { SoakNode } from './SoakNode.js';
import type { SoakWorker } from './SoakWorker.js';
import { startNode } from './startNode.js';

type FaultHandler = (soak: Soak, lastsMs: number) => Promise<void>;

const choose = <T>(soak: Soak, items: readonly T[]): T =>
  items[Math.floor(soak.random() * items.length)]!;

/** Lets one fault of a process end before the next begins: its signals need an order. */
const takeTurn = async (target: { paused: boolean }, act: () => Promise<void>): Promise<void> => {
  if (target.paused) return;
  target.paused = true;
  await act();
  target.paused = false;
};

const killNode = async (node: SoakNode, lastsMs: number): Promise<void> => {
  node.process.signal('SIGKILL');
  await node.process.ended;
  await waitMs(lastsMs / 4);
  node.process = startNode(node);
};

const withNode =
  (act: (node: SoakNode, lastsMs: number) => Promise<void>): FaultHandler =>
  (soak, lastsMs) => {
    const node = choose(soak, soak.nodes);
    return takeTurn(node, () => act(node, lastsMs));
  };

const withWorker =
  (act: (soak: Soak, worker: SoakWorker, lastsMs: number) => Promise<void>): FaultHandler =>
  (soak, lastsMs) => {
    const worker = choose(soak, soak.workers);
    return takeTurn(worker, () => act(soak, worker, lastsMs));
  };

const relayFaults: Record<string, unknown>[] = [
  { cut: true, cutMode: 'freeze', cutSide: 'both' },
  { cut: true, cutMode: 'freeze', cutSide: 'client' },
  { cut: true, cutMode: 'freeze', cutSide: 'target' },
  { cut: true, cutMode: 'reset', cutSide: 'both' },
  { delayMs: 150 },
];
const healed = { cut: false, cutMode: 'freeze', cutSide: 'both', delayMs: 0 };

const withLink =
  (list: (soak: Soak) => SoakLink[]): FaultHandler =>
  async (soak, lastsMs) => {
    const { controlPort } = choose(soak, list(soak));
    await setFaults(controlPort, choose(soak, relayFaults));
    await waitMs(lastsMs);
    await setFaults(controlPort, healed);
  };

const withStore =
  (faults: Record<string, unknown>, usual: Record<string, unknown>): FaultHandler =>
  async (soak, lastsMs) => {
    await setFaults(soak.store.port, faults);
    await waitMs(lastsMs);
    await setFaults(soak.store.port, usual);
  };

/** What each kind of fault does; it is over when the promise resolves. */
export const faultHandlers: Record<string, FaultHandler> = {
  killNode: withNode(killNode),
  pauseNode: withNode(async (node, lastsMs) => {
    node.process.signal('SIGSTOP');
    await waitMs(lastsMs);
    node.process.signal('SIGCONT');
  }),
  terminateNode: withNode(async (node, lastsMs) => {
    node.process.signal('SIGTERM');
    await node.process.ended;
    await waitMs(lastsMs / 4);
    node.process = startNode(node);
  }),
  killAllNodes: async (soak, lastsMs) => {
    const nodes = soak.nodes.filter(({ paused }) => !paused);
    await Promise.all(nodes.map((node) => takeTurn(node, () => killNode(node, lastsMs))));
  },
  restartWorker: withWorker((soak, worker) => restartWorker(soak, worker)),
  pauseWorker: withWorker(async (_soak, worker, lastsMs) => {
    worker.process.signal('SIGSTOP');
    await waitMs(lastsMs);
    worker.process.signal('SIGCONT');
  }),
  failWorker: withWorker(async (_soak, worker, lastsMs) => {
    await setFaults(worker.port, { failing: true });
    await waitMs(lastsMs);
    await setFaults(worker.port, { failing: false });
  }),
  drainWorker: withWorker(async (soak, worker) => {
    await publishWorker(soak, worker, 'draining');
    await waitMs(2500);
    await restartWorker(soak, worker);
  }),
  cutStore: withLink(({ nodes }) => nodes.map(({ store }) => store)),
  cutFront: withLink(({ nodes }) => nodes.map(({ front }) => front)),
  cutWorker: withLink(({ workers }) => workers.map(({ link }) => link)),
  storeRefuses: withStore({ outage: 'refuse' }, { outage: 'none' }),
  storeSilent: withStore({ outage: 'silent' }, { outage: 'none' }),
  storeLosesAnswers: withStore({ lostShare: 0.3 }, { lostShare: 0 }),
  storeSlow: withStore({ delayMs: 200 }, { delayMs: 0 }),
};
