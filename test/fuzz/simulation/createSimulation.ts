import { createState } from '../../../src/core/createState.js';
import type { NodeId } from '../../../src/core/NodeId.js';
import { reduce } from '../../../src/core/reduce.js';
import type { Role } from '../../../src/core/Role.js';
import type { SubtreePath } from '../../../src/core/settings/SubtreePath.js';
import { appendRecords } from './appendRecords.js';
import { chooseDelay } from './chooseDelay.js';
import type { Clock } from './Clock.js';
import { createRandom } from './createRandom.js';
import { reconnectLinks } from './reconnectLinks.js';
import type { FakeWorker } from './FakeWorker.js';
import { listVms } from './listVms.js';
import { makeSnapshot } from './makeSnapshot.js';
import { pushEvent } from './pushEvent.js';
import { runEffect } from './runEffect.js';
import { runUntil } from './runUntil.js';
import { schedule } from './schedule.js';
import { startNode } from './startNode.js';
import type { Simulation } from './Simulation.js';
import type { SimulatedNode } from './SimulatedNode.js';
import type { SimulationOptions } from './SimulationOptions.js';

// Clock rates of two machines differ by up to 1%.
const clockRateDeviation = 0.005;
// Workers started long before the simulation, so that no earlier holder can still have a lease.
const workerAgeMs = 1_000_000;
const vmIds = ['vm-1', 'vm-2'];
const vmListIntervalMs = 1000;
// Age of the states that the platform's VM list shows.
const vmListLagMs = 3000;

const createClock = (simulation: Simulation): Clock => ({
  rate: 1 - clockRateDeviation + simulation.random() * 2 * clockRateDeviation,
  offsetMs: 0,
});

const createWorker = (simulation: Simulation, zone: string, id: string): FakeWorker => ({
  id,
  zone,
  clock: createClock(simulation),
  incarnation: 1,
  startedAt: -workerAgeMs,
  downUntil: 0,
  leftAt: null,
  renewal: null,
  failureMode: 'none',
  failingUntil: 0,
  slowUntil: 0,
  activeAttempts: new Set(),
  tasks: new Map(),
});

const addNode = (
  simulation: Simulation,
  zone: string,
  vmId: string,
  role: Role,
  clock: Clock,
): void => {
  const id: NodeId = `${vmId}/${role}`;
  const node: SimulatedNode = {
    id,
    vmId,
    zone,
    processNumber: 0,
    alive: false,
    clock: { ...clock },
    state: createState({ vmId, zone, role, incarnation: 'i0' }, 'root-hash'),
    pausedUntil: 0,
    queuedEvents: [],
    listening: false,
    attempts: new Map(),
  };
  simulation.nodes.forEach((other) =>
    simulation.links.push({
      ends: [other.id, id],
      generation: 0,
      open: [false, false],
      lastDueAt: [0, 0],
    }),
  );
  simulation.nodes.set(id, node);
};

const addZone = (simulation: Simulation, zone: string, options: SimulationOptions): void => {
  Array.from({ length: options.workersPerZone }, (_, index) => `${zone}-w${index + 1}`).forEach(
    (id) => simulation.workers.set(id, createWorker(simulation, zone, id)),
  );
  vmIds.forEach((vm) => {
    const clock = createClock(simulation);
    options.roles.forEach((role) => addNode(simulation, zone, `${zone}-${vm}`, role, clock));
  });
};

const pushVmList = (simulation: Simulation): void => {
  const vms = listVms(simulation, vmListLagMs);
  simulation.nodes.forEach((node) =>
    pushEvent(simulation, node, node.processNumber, { type: 'vmsListed', vms }),
  );
  schedule(
    simulation,
    simulation.now + chooseDelay(simulation, vmListIntervalMs, 2 * vmListIntervalMs),
    () => pushVmList(simulation),
  );
};

const appendProposal = (
  simulation: Simulation,
  path: SubtreePath,
  expectedVersion: number,
  subtree: unknown,
): void => {
  const proposalId = `start-${path}-${expectedVersion}`;
  const author = 'operator';
  const record = {
    kind: 'proposal',
    proposalId,
    path,
    expectedVersion,
    subtree,
    author,
  };
  appendRecords(simulation, 'settings', [record]);
};

const appendTree = (simulation: Simulation): void => {
  const { zones, teams } = simulation.snapshot.tree;
  appendProposal(simulation, 'zones', -1, zones);
  appendProposal(simulation, 'teams/t1', -1, teams.t1);
};

const registerWorkers = (simulation: Simulation, guaranteed: boolean): void => {
  const zones = Object.keys(simulation.snapshot.tree.zones);
  simulation.snapshot = makeSnapshot([...simulation.workers.values()], 1, zones, guaranteed);
  if (simulation.log.streams.size > 0) {
    appendProposal(simulation, 'zones', 0, simulation.snapshot.tree.zones);
    return;
  }
  simulation.nodes.forEach((node) =>
    pushEvent(simulation, node, node.processNumber, {
      type: 'settingsTree',
      from: `${node.vmId}/recorder`,
      snapshot: simulation.snapshot,
    }),
  );
};

/**
 * Creates a simulation and runs it until every scheduler has processed the workers' registration.
 */
export const createSimulation = (seed: number, options: SimulationOptions): Simulation => {
  const simulation: Simulation = {
    now: 0,
    scheduledActions: [],
    nextSequence: 0,
    random: createRandom(seed),
    reduce: options.reduce ?? reduce,
    runEffect,
    nodes: new Map(),
    links: [],
    workers: new Map(),
    log: { streams: new Map(), outageUntil: 0, lostAnswersUntil: 0 },
    partitions: [],
    faultsEndAt: 0,
    slowUntil: 0,
    duplicateUntil: 0,
    snapshot: makeSnapshot([], 0, options.zones),
    history: {
      callers: new Map(),
      proposals: [],
      requestRuns: [],
      taskRuns: [],
      maxRenewalDelayMs: 0,
      submittedJobIds: [],
      guaranteedJobs: [],
      overlaps: [],
      exits: [],
      reverts: [],
      trace: [],
    },
    tracing: options.tracing,
  };
  options.zones.forEach((zone) => addZone(simulation, zone, options));
  simulation.nodes.forEach((node) => startNode(simulation, node));
  if (options.roles.includes('recorder')) appendTree(simulation);
  reconnectLinks(simulation);
  pushVmList(simulation);
  runUntil(simulation, 1000);
  registerWorkers(simulation, options.guaranteed === true);
  runUntil(simulation, 6000);
  return simulation;
};
