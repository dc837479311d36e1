import { expect, test } from '@jest/globals';
import { applyReplicatedJob } from '../../../src/core/jobs/applyReplicatedJob.js';
import { listRenewableTasks } from '../../../src/core/jobs/listRenewableTasks.js';
import type { State } from '../../../src/core/State.js';
import { createLeadState } from '../../fixtures/createLeadState.js';
import { jobEvents } from '../../fixtures/jobEvents.js';

const {
  send,
  submit,
  cancel,
  listCalls,
  answerTaskCalls,
  describeTask,
  renew,
  claim,
  tick,
  loseWorker,
} = jobEvents;

const twoTasks = { tasks: 2, acceleratorsPerTask: 1 } as const;
const getJobState = (state: State, id = 'j'): string | undefined => state.jobs.jobs.get(id)?.state;
const createTwoWorkers = (): State => createLeadState([1, 1], { a: {} });

// Guards against a part that starts before all parts are prepared.
test('parts start when all are prepared', () => {
  const state = createTwoWorkers();
  const prepared = submit(state, 0, 'j', 'a', twoTasks);
  expect(listCalls(prepared)).toEqual(['prepareTask j.1.0 w0', 'prepareTask j.1.1 w1']);
  const call = { type: 'taskAnswered', call: 'prepareTask', accepted: true } as const;
  expect(listCalls(send(state, 1, { ...call, workerId: 'w0', taskId: 'j.1.0' }))).toEqual([]);
  const started = send(state, 2, { ...call, workerId: 'w1', taskId: 'j.1.1' });
  expect(listCalls(started)).toEqual(['startTask j.1.0 w0', 'startTask j.1.1 w1']);
});

// Guards against a start that no scheduler knows of: the lead fails right after it, before the
// peers have a copy.
test('parts start once peers have acknowledged the copy', () => {
  const state = createTwoWorkers();
  const peer = { node: 'vm-2/scheduler', zone: 'z', linked: true, lastHeardAt: 0 } as const;
  state.membership.peers.set(peer.node, peer);
  const ready = answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', twoTasks));
  expect(listCalls(ready)).toEqual([]);
  const { sequence } = state.replication;
  const early = { type: 'replicateAck', from: peer.node, sequence: sequence - 1 } as const;
  expect(listCalls(send(state, 5, early))).toEqual([]);
  const started = send(state, 10, { ...early, sequence });
  expect(listCalls(started)).toEqual(['startTask j.1.0 w0', 'startTask j.1.1 w1']);
});

// Guards against a job that ends with its first part, and against accelerators that are never
// freed.
test('job finishes with its last part', () => {
  const state = createTwoWorkers();
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', twoTasks));
  renew(state, 1000, 'w0', [describeTask('j.1.0', 2, 'finished')]);
  expect(getJobState(state)).toBe('running');
  renew(state, 1500, 'w1', [describeTask('j.1.1', 2, 'finished')]);
  expect(getJobState(state)).toBe('finished');
  expect(state.jobs.usedByWorker.size).toBe(0);
});

// Guards against a gang whose other parts keep running, or wait for ever, after one part is lost.
test.each([0, 1, 2])('worker lost after %i answered calls requeues the gang', (phases) => {
  const state = createTwoWorkers();
  let effects = submit(state, 0, 'j', 'a', twoTasks);
  for (let phase = 0; phase < phases; phase += 1) {
    effects = effects.flatMap((effect) =>
      effect.type === 'callWorker' && effect.call.kind !== 'lease'
        ? send(state, 1, {
            type: 'taskAnswered',
            workerId: effect.workerId,
            taskId: effect.call.taskId,
            call: effect.call.kind,
            accepted: true,
          })
        : [],
    );
  }
  expect(getJobState(state)).toBe(['preparing', 'starting', 'running'][phases]);
  const stops = loseWorker(state, 10, 'w1');
  expect(listCalls(stops)).toEqual(['stopTask j.1.0 w0']);
  answerTaskCalls(state, 20, stops);
  expect(getJobState(state)).toBe('stopping');
  tick(state, 9600);
  expect(getJobState(state)).toBe('queued');
});

// Guards against a requeue that waits for a task lease although the restarted worker lost the task.
test('restart of a worker requeues the gang at once', () => {
  const state = createTwoWorkers();
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', twoTasks));
  answerTaskCalls(state, 10, send(state, 10, { type: 'workerRestarted', workerId: 'w1' }));
  expect(state.jobs.jobs.get('j')).toMatchObject({ state: 'running', attempt: 2 });
});

// Guards against a cancellation that is lost in a phase, or reported before the parts are stopped.
test.each(['prepare', 'start', 'run'])('cancellation during %s stops every part first', (phase) => {
  const state = createTwoWorkers();
  const prepares = submit(state, 0, 'j', 'a', twoTasks);
  if (phase === 'run') answerTaskCalls(state, 1, prepares);
  if (phase === 'start') {
    ['0', '1'].forEach((part) =>
      send(state, 1, {
        type: 'taskAnswered',
        workerId: `w${part}`,
        taskId: `j.1.${part}`,
        call: 'prepareTask',
        accepted: true,
      }),
    );
  }
  const stops = cancel(state, 2, 'j', 'a');
  expect(listCalls(stops)).toEqual(['stopTask j.1.0 w0', 'stopTask j.1.1 w1']);
  expect(getJobState(state)).toBe('stopping');
  answerTaskCalls(state, 3, prepares);
  answerTaskCalls(state, 3, stops);
  expect(getJobState(state)).toBe('cancelled');
});

// Guards against a repeated or late answer that moves a job into a phase it has left.
test('repeated and late answers change nothing', () => {
  const state = createTwoWorkers();
  const prepares = submit(state, 0, 'j', 'a', twoTasks);
  const starts = answerTaskCalls(state, 1, prepares);
  answerTaskCalls(state, 2, prepares);
  answerTaskCalls(state, 2, starts);
  expect(getJobState(state)).toBe('running');
  answerTaskCalls(state, 3, cancel(state, 3, 'j', 'a'));
  expect(answerTaskCalls(state, 4, prepares)).toContainEqual({
    type: 'count',
    name: 'late_answer_dropped',
  });
  expect(getJobState(state)).toBe('cancelled');
});

// Guards against a gang that waits for ever for a part, and against a stop that is sent only once.
test('unanswered prepare stops the gang and the stop is repeated', () => {
  const state = createTwoWorkers();
  submit(state, 0, 'j', 'a', twoTasks);
  expect(listCalls(tick(state, 2999))).toEqual([]);
  expect(listCalls(tick(state, 3000))).toEqual(['stopTask j.1.0 w0', 'stopTask j.1.1 w1']);
  expect(listCalls(tick(state, 4000))).toEqual(['stopTask j.1.0 w0', 'stopTask j.1.1 w1']);
  renew(state, 4100, 'w0', []);
  renew(state, 4100, 'w1', []);
  expect(state.jobs.jobs.get('j')?.attempt).toBe(1);
});

// Guards against a resumed scheduler that starts a gang on workers which another one holds by now.
test('no task starts on a lapsed lease', () => {
  const state = createTwoWorkers();
  const prepares = submit(state, 0, 'j', 'a', twoTasks);
  state.ownership.leases.forEach((lease) => {
    lease.renewalSentAt = 0;
  });
  expect(listCalls(answerTaskCalls(state, 3000, prepares))).toEqual([]);
  expect(listCalls(tick(state, 5000))).toEqual([]);
  expect(listRenewableTasks(state, 'w0', 5000)).toEqual([]);
  const refused = submit(state, 5000, 'k', 'a');
  expect(refused).toContainEqual({ type: 'countRefusal', reason: 'no-lead' });
});

// Guards against renewing the other parts of a gang after the worker of one part stopped
// answering.
test('tasks of a gang are renewed together or not at all', () => {
  const state = createTwoWorkers();
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', twoTasks));
  renew(state, 2000, 'w0', [describeTask('j.1.0', 2, 'running')]);
  expect(listRenewableTasks(state, 'w0', 2999)).toEqual(['j.1.0']);
  expect(listRenewableTasks(state, 'w0', 3000)).toEqual([]);
});

// Guards against a new lead that adopts only gangs it has a copy of, or keeps an incomplete gang.
test('unknown gang is adopted only if complete', () => {
  const state = createTwoWorkers();
  claim(state, 0, 'w0', [describeTask('j.3.0', 2, 'running')]);
  expect(listRenewableTasks(state, 'w0', 1)).toEqual([]);
  claim(state, 1000, 'w1', [describeTask('j.3.1', 2, 'running')]);
  renew(state, 3900, 'w0', [describeTask('j.3.0', 2, 'running')]);
  renew(state, 3900, 'w1', [describeTask('j.3.1', 2, 'running')]);
  tick(state, 4000);
  expect(getJobState(state)).toBe('running');
  expect(listRenewableTasks(state, 'w0', 4000)).toEqual(['j.3.0']);
  expect(listCalls(claim(state, 4100, 'w0', [describeTask('k.1.0', 2, 'running')]))).toEqual([
    'stopTask j.3.1 w1',
  ]);
  expect(listCalls(tick(state, 7100))).toContain('stopTask k.1.0 w0');
});

// Guards against stopping a healthy gang at a take-over, and against an old attempt that runs
// beside it.
test('replicated gang is adopted and its old attempt stopped', () => {
  const lead = createTwoWorkers();
  answerTaskCalls(lead, 0, submit(lead, 0, 'j', 'a', twoTasks));
  const state = createTwoWorkers();
  applyReplicatedJob(state, structuredClone(lead.jobs.jobs.get('j')!), 500);
  claim(state, 5000, 'w0', [describeTask('j.1.0', 2, 'running')]);
  const stray = [describeTask('j.1.1', 2, 'running'), describeTask('j.0.1', 2, 'running')];
  expect(listCalls(claim(state, 5100, 'w1', stray))).toEqual(['stopTask j.0.1 w1']);
  expect(listCalls(tick(state, 8000))).toEqual([]);
  expect(getJobState(state)).toBe('running');
});

// Guards against a new lead that waits for ever for a gang whose workers no scheduler holds.
test('replicated gang on workers that are not held is stopped', () => {
  const lead = createLeadState([1, 1, 1, 1, 1], { a: {} });
  answerTaskCalls(lead, 0, submit(lead, 0, 'j', 'a', { tasks: 2, adjacency: 'rack' }));
  const state = createLeadState([1, 1, 1, 1, 1], { a: {} });
  applyReplicatedJob(state, structuredClone(lead.jobs.jobs.get('j')!), 0);
  state.ownership.leases.get('w4')!.status = 'notHeld';
  state.ownership.leases.get(state.jobs.jobs.get('j')!.parts[0]!.workerId)!.status = 'notHeld';
  send(state, 100, { type: 'leadChanged', lead: true });
  tick(state, 3100);
  expect(getJobState(state)).toBe('stopping');
});

// Guards against a job that fails on every worker and is restarted without end.
test('job that fails on three sets of workers fails', () => {
  const state = createLeadState([1, 1, 1, 1], { a: {} });
  let effects = submit(state, 0, 'j', 'a');
  for (let attempt = 1; attempt <= 3; attempt += 1) {
    answerTaskCalls(state, attempt * 60_000, effects);
    const part = state.jobs.jobs.get('j')!.parts[0]!;
    renew(state, attempt * 60_000, part.workerId, [describeTask(part.taskId, 1, 'failed')]);
    effects = tick(state, attempt * 60_000 + 31_000);
  }
  expect(getJobState(state)).toBe('failed');
  expect(state.jobs.jobs.get('j')!.failedSets).toEqual(['w0', 'w1', 'w2']);
});

// Guards against a worker that fails every task, so that it always has capacity and gets every job.
test('worker that fails every task is set aside for a while', () => {
  const state = createLeadState([1], { a: {} });
  ['j', 'k', 'l'].forEach((id, index) => {
    answerTaskCalls(state, index, submit(state, index, id, 'a'));
    renew(state, index, 'w0', [describeTask(`${id}.1.0`, 1, 'failed')]);
    cancel(state, index, id, 'a');
  });
  expect(listCalls(submit(state, 10, 'm', 'a'))).toEqual([]);
  expect(listCalls(tick(state, 40_000))).toEqual(['prepareTask m.1.0 w0']);
});
