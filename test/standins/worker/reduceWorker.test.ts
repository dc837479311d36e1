import { expect, test } from '@jest/globals';
import type { WorkerEffect } from '../../../standins/worker/WorkerEffect.js';
import type { WorkerEvent } from '../../../standins/worker/WorkerEvent.js';
import { createWorkerState } from '../../../standins/worker/createWorkerState.js';
import { reduceWorker } from '../../../standins/worker/reduceWorker.js';
import type { WorkerFaults } from '../../../standins/worker/WorkerFaults.js';

const createWorker = () => {
  const state = createWorkerState(
    { id: 'w', incarnation: 'w/1', slots: 2, accelerators: 8, speed: 1, usageLagMs: 100 },
    0,
  );
  const applyAt = (at: number, event: WorkerEvent): WorkerEffect[] =>
    reduceWorker(state, { ...event, at, wall: 1000 + at });
  const listTasks = () =>
    [...state.tasks.values()].map((task) => [task.taskId, task.state, task.ranMs]);
  return { state, applyAt, listTasks };
};
const findAnswer = (effects: WorkerEffect[], requestId: string) =>
  effects.flatMap((e) => (e.type === 'answer' && e.requestId === requestId ? [e.body] : []))[0];
const prepare = (taskId: string, payload: object, overrides = {}): WorkerEvent => ({
  type: 'prepareRequested',
  requestId: 'prepare',
  task: {
    taskId,
    jobId: 'j',
    workspace: 'ws',
    attempt: 1,
    index: 0,
    parts: 1,
    accelerators: 8,
    leaseMs: 8000,
    payload: JSON.stringify(payload),
    ...overrides,
  },
});
const call = (type: 'startRequested' | 'stopRequested' | 'checkpointRequested', taskId: string) =>
  ({ type, requestId: type, taskId }) as const;
const renew = (holder: string, ...renewTasks: string[]): WorkerEvent => ({
  type: 'leaseRenewed',
  requestId: holder,
  holder,
  taskLeaseMs: 8000,
  renewTasks,
});
const createShortRequest = (requestId: string, remainingMs: number): WorkerEvent => ({
  type: 'shortRequested',
  requestId,
  request: {
    method: 'GET',
    path: '/p',
    attemptId: `attempt-${requestId}`,
    siskinRequest: null,
    requestBodyBytes: 0,
    answerBytes: 0,
    status: 200,
    remainingMs,
  },
});
const setFaults = (faults: Partial<WorkerFaults>): WorkerEvent => ({
  type: 'faultsRequested',
  requestId: 'f',
  faults,
  refuseConnectionsMs: 0,
});

// Guards against an answer that already contains the caller's own renewal: a scheduler that claims
// the worker could not see that another one still holds it, and both would hold it.
test('lease answer reports the previous renewal', () => {
  const { applyAt } = createWorker();
  const renewal = (holder: string | null, ageMs: number, released = false) => ({
    lastRenewal: { holder, ageMs, released },
  });
  expect(findAnswer(applyAt(50, renew('a')), 'a')).toMatchObject(renewal(null, 50));
  applyAt(60, { type: 'leaseRead', requestId: 'probe' });
  expect(findAnswer(applyAt(80, renew('b')), 'b')).toMatchObject(renewal('a', 30));
  applyAt(90, { type: 'leaseReleased', requestId: 'x', holder: 'a' });
  expect(findAnswer(applyAt(95, renew('b')), 'b')).toMatchObject(renewal('b', 15));
  applyAt(96, { type: 'leaseReleased', requestId: 'x', holder: 'b' });
  expect(findAnswer(applyAt(97, renew('c')), 'c')).toMatchObject(renewal('b', 2, true));
});

// Guards against a repeated call that restarts a running task or revives an ended one.
test('repeated task calls change nothing', () => {
  const { applyAt, state, listTasks } = createWorker();
  applyAt(0, prepare('t', { runMs: 500 }));
  applyAt(1, prepare('t', { runMs: 9 }));
  [10, 20].forEach((at) => {
    expect(findAnswer(applyAt(at, call('startRequested', 't')), 'startRequested')).toEqual({
      accepted: true,
    });
  });
  expect(applyAt(20, { type: 'tick' }).at(-1)).toEqual({ type: 'wake', at: 510 });
  applyAt(510, { type: 'tick' });
  applyAt(511, call('stopRequested', 't'));
  expect(listTasks()).toEqual([['t', 'finished', 500]]);
  expect(findAnswer(applyAt(512, prepare('t', {})), 'prepare')).toEqual({ accepted: false });
  expect(state.journal.map(({ kind, at }) => [kind, at])).toEqual([
    ['taskStarted', 10],
    ['taskEnded', 510],
  ]);
});

// Guards against a task that outlives its lease: a part of a gang could then run without the others for
// longer than property P2 allows.
test('task stops when its lease expires', () => {
  const { applyAt, listTasks } = createWorker();
  applyAt(0, prepare('kept', { runMs: 60_000 }, { accelerators: 1 }));
  applyAt(0, prepare('lapsed', { runMs: 60_000 }, { accelerators: 1 }));
  applyAt(0, call('startRequested', 'kept'));
  applyAt(0, call('startRequested', 'lapsed'));
  applyAt(5000, renew('a', 'kept'));
  expect(applyAt(5000, { type: 'tick' }).at(-1)).toEqual({ type: 'wake', at: 8000 });
  applyAt(8000, { type: 'tick' });
  expect(listTasks()).toEqual([
    ['kept', 'running', 8000],
    ['lapsed', 'stopped', 8000],
  ]);
});

// Guards against reports that drop an ended task before any holder has learned of its end.
test('ended task is reported until a renewal has seen it', () => {
  const { applyAt, state } = createWorker();
  applyAt(0, prepare('t', { runMs: 0 }));
  applyAt(0, call('startRequested', 't'));
  applyAt(40_000, { type: 'leaseRead', requestId: 'probe' });
  expect(findAnswer(applyAt(70_000, renew('a')), 'a')).toMatchObject({ tasks: [{ taskId: 't' }] });
  applyAt(70_001, { type: 'tick' });
  expect(state.tasks.size).toBe(0);
});

// Guards against a worker that refuses or queues work beyond its capacity, or does not slow down.
test('overload slows all tasks', () => {
  const { applyAt, listTasks } = createWorker();
  ['a', 'b'].forEach((id) => {
    applyAt(0, prepare(id, { runMs: 1000 }));
    applyAt(0, call('startRequested', id));
  });
  applyAt(1000, { type: 'tick' });
  expect(listTasks().map(([, state]) => state)).toEqual(['running', 'running']);
  applyAt(2000, { type: 'tick' });
  expect(listTasks().map(([, state]) => state)).toEqual(['finished', 'finished']);
});

// Guards against a checkpoint that omits completed work, or that ends although the fault
// `hangCheckpoint` is set.
test('task resumes from its checkpoint', () => {
  const { applyAt } = createWorker();
  applyAt(0, prepare('t', { runMs: 1000, checkpointMs: 50 }));
  applyAt(0, call('startRequested', 't'));
  applyAt(1, setFaults({ hangCheckpoint: true }));
  expect(findAnswer(applyAt(300, call('checkpointRequested', 't')), 'checkpointRequested')).toBe(
    undefined,
  );
  expect(applyAt(400, { type: 'tick' })).toEqual([{ type: 'wake', at: 8000 }]);
  applyAt(401, setFaults({ hangCheckpoint: false }));
  const checkpoint = 'checkpoint:t:300';
  expect(findAnswer(applyAt(402, { type: 'tick' }), 'checkpointRequested')).toEqual({
    accepted: true,
    checkpoint,
  });
  applyAt(403, call('stopRequested', 't'));
  applyAt(404, prepare('t2', { runMs: 1000 }, { checkpoint }));
  expect(applyAt(404, call('startRequested', 't2')).at(-1)).toEqual({ type: 'wake', at: 1104 });
});

// Guards against usage that is reported before its delay has passed, or for a task that never ran.
test('usage is reported after its delay', () => {
  const { applyAt } = createWorker();
  applyAt(0, prepare('idle', {}));
  applyAt(0, call('stopRequested', 'idle'));
  applyAt(0, prepare('t', { runMs: 10, fail: true }));
  applyAt(5, call('startRequested', 't'));
  applyAt(15, { type: 'tick' });
  const read = { type: 'usageRead', requestId: 'u', after: 0 } as const;
  expect(findAnswer(applyAt(114, read), 'u')).toMatchObject({ lines: [] });
  expect(findAnswer(applyAt(115, read), 'u')).toMatchObject({
    lines: [{ seq: 1, taskId: 't', startedWall: 1005, endedWall: 1015 }],
  });
});

// Guards against a request that disappears from the journal when its caller disconnects.
test('short request of a gone caller ends as interrupted', () => {
  const { applyAt, state } = createWorker();
  applyAt(0, createShortRequest('r1', 20));
  applyAt(0, createShortRequest('r2', 20));
  applyAt(5, { type: 'shortClosed', requestId: 'r2', complete: false });
  expect(findAnswer(applyAt(6, { type: 'leaseRead', requestId: 'p' }), 'p')).toMatchObject({
    activeRequests: ['attempt-r1', 'attempt-r2'],
  });
  const served = applyAt(20, { type: 'tick' }).filter(
    (effect) => effect.type === 'answerShortRequest',
  );
  expect(served).toMatchObject([{ requestId: 'r1', status: 200, truncate: false }]);
  applyAt(25, { type: 'shortClosed', requestId: 'r1', complete: true });
  const ends = state.journal.filter((line) => line.kind === 'requestEnded');
  expect(ends).toMatchObject([
    { attemptId: 'attempt-r2', outcome: 'interrupted', at: 20 },
    { attemptId: 'attempt-r1', outcome: 'answered', at: 25 },
  ]);
});

// Guards against a failing worker that still runs tasks, and against a request that is started
// although its connection is reset.
test('failing worker fails all work, reset request is not started', () => {
  const { applyAt, state, listTasks } = createWorker();
  applyAt(0, setFaults({ failEverything: true }));
  applyAt(0, prepare('t', { runMs: 500 }));
  applyAt(0, call('startRequested', 't'));
  applyAt(0, createShortRequest('r1', 20));
  expect(applyAt(1, { type: 'tick' })).toMatchObject([{ status: 500 }, { type: 'wake' }]);
  expect(listTasks()).toMatchObject([['t', 'failed', 0]]);
  applyAt(2, setFaults({ resetRequests: true }));
  const lines = state.journal.length;
  expect(applyAt(3, createShortRequest('r2', 20))[0]).toEqual({
    type: 'destroyConnection',
    requestId: 'r2',
  });
  expect(state.journal.length).toBe(lines);
});
