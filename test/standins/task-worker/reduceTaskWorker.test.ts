import { expect, test } from '@jest/globals';
import { createTaskWorkerState } from '../../../standins/task-worker/createTaskWorkerState.js';
import { reduceTaskWorker } from '../../../standins/task-worker/reduceTaskWorker.js';
import type { TaskWorkerEvent } from '../../../standins/task-worker/TaskWorkerEvent.js';
import type { TaskWorkerState } from '../../../standins/task-worker/TaskWorkerState.js';

const createWorker = (): TaskWorkerState => createTaskWorkerState('w', 1, 0);

const start: Extract<TaskWorkerEvent, { type: 'startRequested' }> = {
  type: 'startRequested',
  requestId: 's',
  token: 2,
  task: 't',
  run: 1,
  spec: '1000/2',
  expiresAt: 3000,
};

const hold: Extract<TaskWorkerEvent, { type: 'holdRequested' }> = {
  type: 'holdRequested',
  requestId: 'h',
  token: 2,
  expiresAt: 5000,
  lastSeen: 0,
  waitMs: 0,
};

const applyEvent = (state: TaskWorkerState, event: TaskWorkerEvent, at: number): unknown =>
  reduceTaskWorker(state, { ...event, at, wall: at })[0];

// Guards against a worker that obeys a former leader, whose fencing token is lower.
test('lower token is refused', () => {
  const state = createWorker();
  applyEvent(state, start, 0);
  expect(applyEvent(state, { ...start, token: 1, task: 'u' }, 1)).toMatchObject({ status: 409 });
  expect(state.runs).toHaveLength(1);
});

// Guards against runs that outlast their lease.
test('run ends with its lease', () => {
  const state = createWorker();
  applyEvent(state, { ...start, spec: '9000/1' }, 0);
  applyEvent(state, { type: 'tick' }, 3500);
  expect(state.runs).toMatchObject([{ kind: 'lapsed', endedAt: 3000 }]);
});

// Guards against a finished run that is dropped from the answers before a leader has acknowledged it.
test('finished run is listed until acknowledged', () => {
  const state = createWorker();
  applyEvent(state, start, 0);
  expect(applyEvent(state, hold, 1500)).toMatchObject({
    body: { finished: [[1, 't', 1, 'done', '']], running: [] },
  });
  expect(applyEvent(state, { ...hold, lastSeen: 1 }, 1600)).toMatchObject({
    body: { finished: [] },
  });
});

// Guards against a stopped run that is started by a start call that arrives after the stop.
test('stopped run does not start', () => {
  const state = createWorker();
  applyEvent(state, { type: 'stopRequested', requestId: 'x', token: 2, task: 't', run: 1 }, 0);
  expect(applyEvent(state, start, 1)).toMatchObject({ status: 409, body: { reason: 'old' } });
});
