import { expect, test } from '@jest/globals';
import { explainJob } from '../../../src/core/jobs/explainJob.js';
import { placeGang } from '../../../src/core/jobs/placeGang.js';
import type { State } from '../../../src/core/State.js';
import { createLeadState } from '../../fixtures/createLeadState.js';
import { jobEvents } from '../../fixtures/jobEvents.js';

const { submit, cancel, listCalls, answerTaskCalls, describeTask, renew, tick, loseWorker, send } =
  jobEvents;

const guarantee = { zone: 'z', workers: 1, acceleratorsPerWorker: 4, adjacency: 'worker' } as const;
const getJobState = (state: State, id: string): string | undefined =>
  state.jobs.jobs.get(id)?.state;
const listRefusalReasons = (effects: ReturnType<typeof submit>): string[] =>
  effects.flatMap((effect) => (effect.type === 'countRefusal' ? [effect.reason] : []));

// Guards against queueing a job that can never run, and against refusing one that can.
test('impossible submissions are refused', () => {
  const state = createLeadState([4, 4], { a: { maxAccelerators: 6 } });
  const spec = { tasks: 2, acceleratorsPerTask: 4 };
  expect(listRefusalReasons(submit(state, 0, 'j', 'b'))).toEqual(['unknown-workspace']);
  expect(listRefusalReasons(submit(state, 0, 'j', 'a', { acceleratorsPerTask: 5 }))).toEqual([
    'impossible-shape',
  ]);
  expect(listRefusalReasons(submit(state, 0, 'j', 'a', { ...spec, adjacency: 'worker' }))).toEqual([
    'impossible-shape',
  ]);
  expect(listRefusalReasons(submit(state, 0, 'j', 'a', spec))).toEqual(['quota-exceeded']);
  expect(listRefusalReasons(submit(state, 0, 'j', 'a', { ...spec, tasks: 1 }))).toEqual([]);
});

// Guards against a repeated submission that runs a job twice.
test('repeated submission starts nothing', () => {
  const state = createLeadState([4], { a: {} });
  submit(state, 0, 'j', 'a');
  const again = submit(state, 1, 'j', 'a');
  expect(listCalls(again)).toEqual([]);
  expect(again).toMatchObject([{ message: { result: { ok: true, data: { id: 'j' } } } }]);
  expect([...state.replication.changedJobs]).toEqual(['j']);
});

// Guards against fragmentation: work that fits on a partly used worker or rack takes a whole one.
test('gang is placed where least capacity is left over', () => {
  const workers = [
    { workerId: 'w0', rack: 'r0', capacity: 8 },
    { workerId: 'w1', rack: 'r0', capacity: 8 },
    { workerId: 'w2', rack: 'r1', capacity: 3 },
    { workerId: 'w3', rack: 'r1', capacity: 2 },
  ];
  const shape = { tasks: 2, acceleratorsPerTask: 1, adjacency: 'zone' } as const;
  expect(placeGang(workers, shape)).toEqual(['w3', 'w3']);
  expect(placeGang(workers, { ...shape, tasks: 5 })).toEqual(['w0', 'w0', 'w0', 'w0', 'w0']);
  expect(placeGang(workers, { ...shape, acceleratorsPerTask: 8 })).toEqual(['w0', 'w1']);
  expect(placeGang(workers, { ...shape, tasks: 17, adjacency: 'rack' })).toBeNull();
});

// Guards against work that cannot be preempted on the cells of a guarantee.
test('only preemptible jobs borrow guaranteed capacity', () => {
  const state = createLeadState([4], { a: { guarantees: [guarantee] }, b: {} });
  expect(listCalls(submit(state, 0, 'j', 'b'))).toEqual([]);
  expect(explainJob(state, state.jobs.jobs.get('j')!, 0)).toContain('beside the guarantees');
  expect(listCalls(submit(state, 0, 'k', 'b', { preemptible: true }))).toHaveLength(1);
  expect(state.jobs.jobs.get('k')?.parts[0]?.borrowed).toBe(true);
});

// Guards against lending capacity that a guarantee needs to be placed again after losing a worker.
test('capacity that an unplaced guarantee needs is not lent', () => {
  const state = createLeadState([4, 3], { a: { guarantees: [guarantee] }, b: {} });
  loseWorker(state, 0, 'w0');
  send(state, 1, { type: 'settingsChanged', snapshot: state.settings.inForce! });
  expect(state.guarantees.unplaced).toMatchObject([{ workspace: 'a', shape: 0 }]);
  state.ownership.leases.get('w0')!.status = 'held';
  expect(
    listCalls(submit(state, 2, 'k', 'b', { preemptible: true, acceleratorsPerTask: 4 })),
  ).toEqual([]);
});

// Guards against a reclaim that waits for the end of the borrowing job, or for a checkpoint that
// never arrives.
test('reclaim stops borrowers without a checkpoint after 4 s', () => {
  const state = createLeadState([4], { a: { guarantees: [guarantee] }, b: {} });
  answerTaskCalls(
    state,
    0,
    submit(state, 0, 'b1', 'b', { preemptible: true, acceleratorsPerTask: 3 }),
  );
  const reclaim = submit(state, 1000, 'a1', 'a', { acceleratorsPerTask: 4 });
  expect(listCalls(reclaim)).toEqual(['checkpointTask b1.1.0 w0']);
  expect(reclaim).toContainEqual({ type: 'count', name: 'reclaim_started' });
  expect(submit(state, 1100, 'b2', 'b', { preemptible: true })).toHaveLength(1);
  expect(listCalls(tick(state, 4999))).toEqual([]);
  const stops = tick(state, 5000);
  expect(listCalls(stops)).toEqual(['stopTask b1.1.0 w0']);
  answerTaskCalls(state, 5100, stops);
  expect(getJobState(state, 'a1')).toBe('running');
  expect(getJobState(state, 'b1')).toBe('queued');
});

// Guards against losing the checkpoint of a reclaimed gang.
test('reclaimed gang resumes from its checkpoints', () => {
  const state = createLeadState([4], { a: { guarantees: [guarantee] }, b: {} });
  const borrowed = { tasks: 2, acceleratorsPerTask: 2, preemptible: true };
  answerTaskCalls(state, 0, submit(state, 0, 'b1', 'b', borrowed));
  answerTaskCalls(state, 10, submit(state, 10, 'a1', 'a', { acceleratorsPerTask: 4 }));
  expect(state.jobs.jobs.get('b1')?.checkpoints).toEqual(['c-b1.1.0', 'c-b1.1.1']);
  const next = renew(state, 20, 'w0', [describeTask('a1.1.0', 1, 'finished')]);
  expect(next).toContainEqual(
    expect.objectContaining({ call: expect.objectContaining({ checkpoint: 'c-b1.1.0' }) }),
  );
});

// Guards against losing a checkpoint that took longer than the call timeout, or repeating it.
test('checkpoint is taken from a report after a call timeout', () => {
  const state = createLeadState([4], { a: { guarantees: [guarantee] }, b: {} });
  answerTaskCalls(
    state,
    0,
    submit(state, 0, 'b1', 'b', { preemptible: true, acceleratorsPerTask: 4 }),
  );
  submit(state, 100, 'a1', 'a', { acceleratorsPerTask: 4 });
  const call = { workerId: 'w0', taskId: 'b1.1.0', call: 'checkpointTask' } as const;
  expect(send(state, 1600, { type: 'taskCallFailed', ...call, error: 'timeout' })).toEqual([]);
  const task = describeTask('b1.1.0', 1, 'running', 'b');
  expect(listCalls(renew(state, 1700, 'w0', [task]))).toEqual(['checkpointTask b1.1.0 w0']);
  const seen = renew(state, 2700, 'w0', [{ ...task, checkpoint: 'c1' }]);
  expect(listCalls(seen)).toContain('stopTask b1.1.0 w0');
  expect(state.jobs.jobs.get('b1')?.checkpoints).toEqual(['c1']);
});

// Guards against a guaranteed job that waits longer than 2 s for a short request.
test('guaranteed job waits at most 2 s for a short request', () => {
  const state = createLeadState([4], { a: { guarantees: [guarantee] } });
  state.routing.workerLoads.set('w0', {
    grantedAttempts: new Set(['g']),
    inheritedAttempts: new Set(),
  } as never);
  expect(listCalls(submit(state, 0, 'a1', 'a', { acceleratorsPerTask: 4 }))).toEqual([]);
  expect(listCalls(tick(state, 1999))).toEqual([]);
  expect(listCalls(tick(state, 2000))).toEqual(['prepareTask a1.1.0 w0']);
});

// Guards against a cancelled job that is requeued because a checkpoint was in progress.
test('cancellation during a checkpoint ends the job', () => {
  const state = createLeadState([4], { a: { guarantees: [guarantee] }, b: {} });
  answerTaskCalls(state, 0, submit(state, 0, 'b1', 'b', { preemptible: true }));
  const reclaim = submit(state, 10, 'a1', 'a', { acceleratorsPerTask: 4 });
  const stops = cancel(state, 20, 'b1', 'b');
  answerTaskCalls(state, 30, reclaim);
  answerTaskCalls(state, 40, stops);
  expect(getJobState(state, 'b1')).toBe('cancelled');
});

// Guards against a large gang that never starts because small jobs keep taking its capacity.
test('small jobs do not starve a large gang', () => {
  const state = createLeadState([2, 2], { a: {} });
  answerTaskCalls(state, 0, submit(state, 0, 's0', 'a', { declaredMs: 5000 }));
  submit(state, 10, 'large', 'a', { tasks: 4 });
  expect(listCalls(submit(state, 20, 's1', 'a', { declaredMs: 60_000 }))).toEqual([]);
  expect(listCalls(submit(state, 30, 's2', 'a', { declaredMs: 1000 }))).toHaveLength(1);
  expect(explainJob(state, state.jobs.jobs.get('s1')!, 40)).toContain('large holds a reservation');
});

// Guards against backfill that relies on a declared run time although earlier runs of the same
// shape took longer.
test('backfill uses observed run times', () => {
  const state = createLeadState([2], { a: {} });
  answerTaskCalls(state, 0, submit(state, 0, 's0', 'a', { declaredMs: 1 }));
  renew(state, 90_000, 'w0', [describeTask('s0.1.0', 1, 'finished')]);
  answerTaskCalls(state, 90_000, submit(state, 90_000, 's1', 'a', { declaredMs: 1 }));
  submit(state, 120_000, 'large', 'a', { tasks: 2 });
  expect(listCalls(submit(state, 120_001, 's2', 'a', { declaredMs: 1 }))).toEqual([]);
});

// Guards against a workspace that gets all free capacity because it submitted first.
test('free capacity goes to the lowest weighted usage', () => {
  const state = createLeadState([3], { a: { weight: 1 }, b: { weight: 2 } });
  answerTaskCalls(state, 0, submit(state, 0, 'x', 'a', { acceleratorsPerTask: 3 }));
  ['a1', 'a2', 'b1', 'b2'].forEach((id, index) => submit(state, index, id, id[0]!));
  renew(state, 1000, 'w0', [describeTask('x.1.0', 1, 'finished')]);
  const started = ['a1', 'a2', 'b1', 'b2'].filter((id) => getJobState(state, id) === 'preparing');
  expect(started).toEqual(['a1', 'b1', 'b2']);
});

// Guards against a workspace that exceeds its quota with many small jobs.
test('quota covers all jobs of a workspace', () => {
  const state = createLeadState([4], { a: { maxAccelerators: 2 } });
  ['j', 'k', 'l'].forEach((id, index) => submit(state, index, id, 'a'));
  expect(getJobState(state, 'l')).toBe('queued');
  expect(explainJob(state, state.jobs.jobs.get('l')!, 9)).toContain('uses 2 of its quota of 2');
});

// Guards against an urgent job that waits behind ordinary jobs of its workspace.
test('urgent job starts before ordinary ones', () => {
  const state = createLeadState([1], { a: {} });
  answerTaskCalls(state, 0, submit(state, 0, 'x', 'a'));
  submit(state, 1, 'j', 'a');
  submit(state, 2, 'k', 'a', { urgent: true });
  renew(state, 1000, 'w0', [describeTask('x.1.0', 1, 'finished')]);
  expect(getJobState(state, 'k')).toBe('preparing');
});
