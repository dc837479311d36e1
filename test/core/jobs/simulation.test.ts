import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { Effect } from '../../../src/core/Effect.js';
import { listRenewableTasks } from '../../../src/core/jobs/listRenewableTasks.js';
import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { State } from '../../../src/core/State.js';
import { createLeadState } from '../../fixtures/createLeadState.js';
import { jobEvents } from '../../fixtures/jobEvents.js';

const { send, submit, cancel, describeTask, renew, claim, tick, loseWorker } = jobEvents;

const size = 4;
const workerIds = ['w0', 'w1', 'w2', 'w3'];
type Call = Extract<Effect, { type: 'callWorker' }>;
type Task = TaskReport & { workerId: string; expiresAt: number };

interface World {
  state: State;
  at: number;
  submitted: number;
  calls: Call[];
  tasks: Map<string, Task>;
}

const isActive = (task: Task): boolean => task.state === 'prepared' || task.state === 'running';

/** Keeps the calls for later delivery; no part may be started before all parts are prepared. */
const collect = (world: World, effects: Effect[]): void => {
  effects.forEach((effect) => {
    if (effect.type !== 'callWorker' || effect.call.kind === 'lease') return;
    world.calls.push(effect);
    if (effect.call.kind !== 'startTask') return;
    const job = world.state.jobs.jobs.get(effect.call.taskId.split('.')[0] ?? '');
    const ready = job?.parts.filter((part) => /prepared|running|finished/.test(part.state));
    expect(ready).toHaveLength(job?.spec.tasks ?? -1);
  });
};

const runCall = ({ tasks, at }: World, { workerId, call }: Call): boolean => {
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

const deliver = (world: World, index: number, keep: boolean): void => {
  const call = world.calls[index % Math.max(1, world.calls.length)];
  if (!call || call.call.kind === 'lease') return;
  if (!keep) world.calls.splice(world.calls.indexOf(call), 1);
  const { workerId } = call;
  const accepted = runCall(world, call);
  const { taskId, kind } = call.call;
  const checkpoint = kind === 'checkpointTask' ? { checkpoint: 'c' } : {};
  const answer = { workerId, taskId, call: kind, accepted, ...checkpoint };
  collect(world, send(world.state, world.at, { type: 'taskAnswered', ...answer }));
};

const listTasks = (world: World, workerId: string): Task[] =>
  [...world.tasks.values()].filter((task) => task.workerId === workerId);

const renewWorker = (world: World, workerId: string): void => {
  const { state, at } = world;
  const lease = state.ownership.leases.get(workerId)!;
  listRenewableTasks(state, workerId, at).forEach((taskId) => {
    const task = world.tasks.get(taskId);
    if (task) task.expiresAt = at + 8000;
  });
  const report = lease.status === 'held' ? renew : claim;
  lease.status = 'held';
  lease.renewalSentAt = at;
  collect(world, report(state, at, workerId, listTasks(world, workerId)));
};

const advance = (world: World, ms: number): void => {
  world.at += ms;
  world.tasks.forEach((task, id) => {
    if (isActive(task) && task.expiresAt <= world.at) world.tasks.delete(id);
  });
  collect(world, tick(world.state, world.at));
};

const endTask = (world: World, index: number, state: 'finished' | 'failed'): void => {
  const running = [...world.tasks.values()].filter((task) => task.state === 'running');
  const task = running[index % Math.max(1, running.length)];
  if (task) task.state = state;
};

const steps: Record<string, (world: World, n: number) => void> = {
  submit: (world, n) => {
    const workspace = n % 5 < 3 ? 'a' : 'b';
    // A job of `b` that may not borrow could wait for ever beside the guarantee of `a`.
    const preemptible = workspace === 'b' || n % 2 === 0;
    const spec = { tasks: 1 + (n % 4), acceleratorsPerTask: 1 + (n % 3), preemptible };
    const id = `j${(world.submitted += 1)}`;
    collect(world, submit(world.state, world.at, id, workspace, spec));
  },
  cancel: (world, n) =>
    ['a', 'b'].forEach((workspace) =>
      collect(world, cancel(world.state, world.at, `j${n % 8}`, workspace)),
    ),
  deliver: (world, n) => deliver(world, n, false),
  repeat: (world, n) => deliver(world, n, true),
  drop: (world, n) => world.calls.splice(n % 5, 1),
  renew: (world, n) => renewWorker(world, workerIds[n % 4]!),
  advance: (world, n) => advance(world, n * 20),
  finish: (world, n) => endTask(world, n, 'finished'),
  fail: (world, n) => endTask(world, n, 'failed'),
  lose: (world, n) => collect(world, loseWorker(world.state, world.at, workerIds[n % 4]!)),
  restart: (world, n) => {
    const workerId = workerIds[n % 4]!;
    listTasks(world, workerId).forEach((task) => world.tasks.delete(task.taskId));
    collect(world, send(world.state, world.at, { type: 'workerRestarted', workerId }));
  },
};

const checkUse = ({ state: { jobs } }: World): void => {
  workerIds.forEach((workerId) => {
    const ids = [...(jobs.tasksByWorker.get(workerId) ?? [])];
    const use = ids.map((id) => jobs.jobs.get(jobs.jobIdByTask.get(id)!)!.spec.acceleratorsPerTask);
    const sum = use.reduce((total, accelerators) => total + accelerators, 0);
    expect(jobs.usedByWorker.get(workerId) ?? 0).toBe(sum);
    expect(sum).toBeLessThanOrEqual(size);
  });
};

const heal = (world: World): void => {
  for (let round = 0; round < 400; round += 1) {
    advance(world, 500);
    while (world.calls.length > 0) deliver(world, 0, false);
    for (let index = 0; index < 20; index += 1) endTask(world, 0, 'finished');
    workerIds.forEach((workerId) => renewWorker(world, workerId));
  }
};

// Guards against over-allocation, parts started alone, and jobs or tasks that never end, whatever
// calls are lost, repeated or late and whichever workers fail or restart.
test('every job ends and no part runs alone', () => {
  const guarantee = { zone: 'z', workers: 2, acceleratorsPerWorker: 3, adjacency: 'rack' } as const;
  const step = fc.tuple(fc.constantFrom(...Object.keys(steps)), fc.nat(100));
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (script) => {
      const sizes = workerIds.map(() => size);
      const state = createLeadState(sizes, { a: { guarantees: [guarantee] }, b: {} });
      const world: World = { state, at: 0, submitted: 0, calls: [], tasks: new Map() };
      script.forEach(([name, n]) => {
        steps[name]?.(world, n);
        checkUse(world);
      });
      heal(world);
      const open = [...state.jobs.jobs.values()].filter((job) => job.endedWall === undefined);
      expect(open.map((job) => [job.id, job.state])).toEqual([]);
      expect([...world.tasks.values()].filter(isActive)).toEqual([]);
      expect(state.jobs.usedByWorkspace.size).toBe(0);
    }),
    { seed: 31, numRuns: 150 },
  );
});
