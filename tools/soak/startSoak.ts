import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { createRandom } from '../../test/fuzz/simulation/createRandom.js';
import { findFreePorts } from '../cluster/findFreePorts.js';
import { startProcess } from '../cluster/startProcess.js';
import { buildOperatorConfig } from './buildOperatorConfig.js';
import { formatSettings } from './formatSettings.js';
import { publishOddEntries } from './publishOddEntries.js';
import { publishRecord } from './publishRecord.js';
import type { JobMix } from './JobMix.js';
import { keepRegistered } from './keepRegistered.js';
import { recordLoad } from './recordLoad.js';
import type { Soak } from './Soak.js';
import type { SoakRelay } from './SoakRelay.js';
import type { SoakNode } from './SoakNode.js';
import type { SoakWorker } from './SoakWorker.js';
import { startNode } from './startNode.js';
import { startWorker } from './startWorker.js';
import { updateRegistration } from './updateRegistration.js';
import { stopSoak } from './stopSoak.js';
import { waitForListening } from './waitForListening.js';

interface SoakSize {
  seed: number;
  nodes: number;
  workers: number;
  jobMix: JobMix;
}

// Frontend, readiness and metrics, and two for each of two relays.
const portsPerNode = 7;
// Its own, and two for the relay.
const portsPerWorker = 3;

// Accelerators that the workspace can always reclaim.
const guaranteedGpuPerWorker = 2;

const startRelayProcess = (
  name: string,
  ports: number[],
  target: number,
  from = '127.0.0.1',
): SoakRelay => {
  const [port, controlPort] = ports as [number, number];
  const addresses = ['--target', `127.0.0.1:${target}`, '--from', from];
  const args = ['--listen', port, '--control', controlPort, ...addresses];
  const script = 'dist/standins/relay/main.js';
  return { port, controlPort, process: startProcess(name, script, args.map(String)) };
};

const createNode = (
  index: number,
  folder: string,
  ports: number[],
  storePort: number,
): SoakNode => {
  const id = `vm-${index + 1}`;
  const [frontPort, readinessPort, metricsPort] = ports.splice(0, 3) as [number, number, number];
  const frontendRelay = startRelayProcess(`${id}/front`, ports.splice(0, 2), frontPort);
  const address = `127.0.1.${index + 1}`;
  const storeRelay = startRelayProcess(`${id}/store`, ports.splice(0, 2), storePort, address);
  const settingsFile = path.join(folder, `${id}.toml`);
  const settings = { id, frontPort, readinessPort, storePort: storeRelay.port };
  fs.writeFileSync(settingsFile, formatSettings(settings));
  const processes = { frontendRelay, storeRelay, formerLines: [], faultInProgress: false };
  const node = { id, address, settingsFile, metricsPort, ...processes };
  return { ...node, process: startNode(node) };
};

const createWorker = (index: number, ports: number[]): SoakWorker => {
  const id = `w${index}`;
  const [port] = ports.splice(0, 1) as [number];
  const relay = startRelayProcess(`${id}/link`, ports.splice(0, 2), port);
  const worker = {
    id,
    port,
    relay,
    incarnation: Date.now(),
    faultInProgress: false,
    formerRuns: [],
    registration: {
      state: 'ready' as const,
      leavesAt: null,
      sendsHeartbeats: true,
      acceptedAt: 0,
    },
  };
  return { ...worker, process: startWorker(worker) };
};

/** Starts the store, and the workers and daemons with their relays. */
export const startSoak = async ({ seed, nodes, workers, jobMix }: SoakSize): Promise<Soak> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-soak-'));
  const ports = await findFreePorts(1 + nodes * portsPerNode + workers * portsPerWorker);
  const [storePort] = ports.splice(0, 1) as [number];
  const args = ['--port', String(storePort), '--seed', String(seed)];
  const store = {
    port: storePort,
    process: startProcess('store', 'dist/standins/store/main.js', args),
    faultInProgress: false,
  };
  await waitForListening(store.process);
  const soak: Soak = {
    folder,
    random: createRandom(seed),
    store,
    workers: Array.from({ length: workers }, (_, index) => createWorker(index, ports)),
    nodes: [],
    timers: [],
    loadSamples: [],
    jobMix,
    jobs: new Map(),
    faults: [],
    pendingFaults: [],
  };
  await publishRecord(
    storePort,
    'keyed.op',
    'config',
    buildOperatorConfig(guaranteedGpuPerWorker * workers),
  );
  const ready = { state: 'ready', leavesAt: null } as const;
  await Promise.all(soak.workers.map((worker) => updateRegistration(soak, worker, ready)));
  soak.timers = [
    recordLoad(soak.loadSamples),
    ...soak.workers.map((worker) => keepRegistered(soak, worker)),
  ];
  await publishOddEntries(storePort);
  soak.nodes = Array.from({ length: nodes }, (_, index) =>
    createNode(index, folder, ports, storePort),
  );
  const standIns = [
    ...soak.workers.flatMap((worker) => [worker.process, worker.relay.process]),
    ...soak.nodes.flatMap((node) => [node.frontendRelay.process, node.storeRelay.process]),
  ];
  try {
    await Promise.all(standIns.map(waitForListening));
  } catch (error) {
    await stopSoak(soak);
    throw error;
  }
  return soak;
};
