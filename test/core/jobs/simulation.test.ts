import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { Effect } from '../../../src/core/Effect.js';
import { listRenewableTasks } from '../../../src/core/jobs/listRenewableTasks.js';
import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { State } from '../../../src/core/State.js';
import { createLeadState } from '../../fixtures/createLeadState.js';
import { jobEvents } from '../../fixtures/jobEvents.js';

const { send, submit, cancel, describeTask, renew, claim, tick, loseWorker } = jobEvents;

const acceleratorsPerWorker = 4;
const workerIds = ['w0', 'w1', 'w2', 'w3'];
type Call = Extract<Effect, { type: 'callWorker' }>;
type FakeTask = TaskReport & { workerId: string; expiresAt: number };

interface Simulation {
  state: State;
  at: number;
  submitted: number;
  calls: Call[];
  tasks: Map<string, FakeTask>;
}

const isActive = (task: FakeTask): boolean => task.state === 'prepared' || task.state === 'running';

/** Queues the calls for later delivery and checks that parts start only when all are prepared. */
const collectCalls = (simulation: Simulation, effects: Effect[]): void => {
  effects.forEach((effect) => {
    if (effect.type !== 'callWorker' || effect.call.kind === 'lease') return;
    simulation.calls.push(effect);
    if (effect.call.kind !== 'startTask') return;
    const job = simulation.state.jobs.jobs.get(effect.call.taskId.split('.')[0] ?? '');
    const preparedParts = job?.parts.filter((part) => /prepared|running|finished/.test(part.state));
    expect(preparedParts).toHaveLength(job?.spec.tasks ?? -1);
  });
};

const runCall = ({ tasks, at }: Simulation, { workerId, call }: Call): boolean => {
  if (call.kind === 'lease') return false;
  if (call.kind === 'prepareTask') {
    const { taskId, parts, workspace, accelerators } = call;
    const task = { ...describeTask(taskId, parts, 'prepared', workspace), accelerators };
    if (!tasks.has(taskId)) tasks.set(taskId, { ...task, workerId, expiresAt: at + 8000 });
    return true;
  }
  const task = tasks.get(call.taskId);
  if (!task || !isActive(task)) return false;
  if (call.kind === 'startTask') task.state = 'running';
  if (call.kind === 'stopTask') task.state = 'stopped';
  return true;
};

const deliverCall = (simulation: Simulation, index: number, keep: boolean): void => {
  const call = simulation.calls[index % Math.max(1, simulation.calls.length)];
  if (!call || call.call.kind === 'lease') return;
  if (!keep) simulation.calls.splice(simulation.calls.indexOf(call), 1);
  const { workerId } = call;
  const accepted = runCall(simulation, call);
  const { taskId, kind } = call.call;
  const checkpoint = kind === 'checkpointTask' ? { checkpoint: 'c' } : {};
  const answer = { workerId, taskId, call: kind, accepted, ...checkpoint };
  collectCalls(
    simulation,
    send(simulation.state, simulation.at, { type: 'taskAnswered', ...answer }),
  );
};

const listTasks = (simulation: Simulation, workerId: string): FakeTask[] =>
  [...simulation.tasks.values()].filter((task) => task.workerId === workerId);

const renewWorker = (simulation: Simulation, workerId: string): void => {
  const { state, at } = simulation;
  const lease = state.ownership.leases.get(workerId)!;
  listRenewableTasks(state, workerId, at).forEach((taskId) => {
    const task = simulation.tasks.get(taskId);
    if (task) task.expiresAt = at + 8000;
  });
  const report = lease.status === 'held' ? renew : claim;
  lease.status = 'held';
  lease.renewalSentAt = at;
  collectCalls(simulation, report(state, at, workerId, listTasks(simulation, workerId)));
};

const advanceTime = (simulation: Simulation, ms: number): void => {
  simulation.at += ms;
  simulation.tasks.forEach((task, id) => {
    if (isActive(task) && task.expiresAt <= simulation.at) simulation.tasks.delete(id);
  });
  collectCalls(simulation, tick(simulation.state, simulation.at));
};

const endTask = (simulation: Simulation, index: number, state: 'finished' | 'failed'): void => {
  const running = [...simulation.tasks.values()].filter((task) => task.state === 'running');
  const task = running[index % Math.max(1, running.length)];
  if (task) task.state = state;
};

const stepHandlers: Record<string, (simulation: Simulation, n: number) => void> = {
  submit: (simulation, n) => {
    const workspace = n % 5 < 3 ? 'a' : 'b';
    // A job of `b` that may not borrow could wait for ever because of the guarantee of `a`.
    const preemptible = workspace === 'b' || n % 2 === 0;
    const spec = { tasks: 1 + (n % 4), acceleratorsPerTask: 1 + (n % 3), preemptible };
    const id = `j${(simulation.submitted += 1)}`;
    collectCalls(simulation, submit(simulation.state, simulation.at, id, workspace, spec));
  },
  cancel: (simulation, n) =>
    ['a', 'b'].forEach((workspace) =>
      collectCalls(simulation, cancel(simulation.state, simulation.at, `j${n % 8}`, workspace)),
    ),
  deliver: (simulation, n) => deliverCall(simulation, n, false),
  repeat: (simulation, n) => deliverCall(simulation, n, true),
  drop: (simulation, n) => simulation.calls.splice(n % 5, 1),
  renew: (simulation, n) => renewWorker(simulation, workerIds[n % 4]!),
  advance: (simulation, n) => advanceTime(simulation, n * 20),
  finish: (simulation, n) => endTask(simulation, n, 'finished'),
  fail: (simulation, n) => endTask(simulation, n, 'failed'),
  lose: (simulation, n) =>
    collectCalls(simulation, loseWorker(simulation.state, simulation.at, workerIds[n % 4]!)),
  restart: (simulation, n) => {
    const workerId = workerIds[n % 4]!;
    listTasks(simulation, workerId).forEach((task) => simulation.tasks.delete(task.taskId));
    collectCalls(
      simulation,
      send(simulation.state, simulation.at, { type: 'workerRestarted', workerId }),
    );
  },
};

const checkUsage = ({ state: { jobs } }: Simulation): void => {
  workerIds.forEach((workerId) => {
    const ids = [...(jobs.tasksByWorker.get(workerId) ?? [])];
    const use = ids.map((id) => jobs.jobs.get(jobs.jobIdByTask.get(id)!)!.spec.acceleratorsPerTask);
    const usedAccelerators = use.reduce((total, accelerators) => total + accelerators, 0);
    expect(jobs.usedByWorker.get(workerId) ?? 0).toBe(usedAccelerators);
    expect(usedAccelerators).toBeLessThanOrEqual(acceleratorsPerWorker);
  });
};

const settle = (simulation: Simulation): void => {
  for (let round = 0; round < 400; round += 1) {
    advanceTime(simulation, 500);
    while (simulation.calls.length > 0) deliverCall(simulation, 0, false);
    for (let index = 0; index < 20; index += 1) endTask(simulation, 0, 'finished');
    workerIds.forEach((workerId) => renewWorker(simulation, workerId));
  }
};

// Guards against over-allocation, parts started alone, and jobs or tasks that never end when calls
// are lost, repeated or late and workers fail or restart.
test('every job ends and no part starts alone', () => {
  const guarantee = { zone: 'z', workers: 2, acceleratorsPerWorker: 3, adjacency: 'rack' } as const;
  const step = fc.tuple(fc.constantFrom(...Object.keys(stepHandlers)), fc.nat(100));
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (script) => {
      const sizes = workerIds.map(() => acceleratorsPerWorker);
      const state = createLeadState(sizes, { a: { guarantees: [guarantee] }, b: {} });
      const simulation: Simulation = { state, at: 0, submitted: 0, calls: [], tasks: new Map() };
      script.forEach(([name, n]) => {
        stepHandlers[name]?.(simulation, n);
        checkUsage(simulation);
      });
      settle(simulation);
      const open = [...state.jobs.jobs.values()].filter((job) => job.endedWall === undefined);
      expect(open.map((job) => [job.id, job.state])).toEqual([]);
      expect([...simulation.tasks.values()].filter(isActive)).toEqual([]);
      expect(state.jobs.usedByWorkspace.size).toBe(0);
    }),
    { seed: 31, numRuns: 150 },
  );
});
