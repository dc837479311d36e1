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

const wide = { tasks: 2, acceleratorsPerTask: 1 } as const;
const stateOf = (state: State, id = 'j'): string | undefined => state.jobs.jobs.get(id)?.state;
const createPair = (): State => createLeadState([1, 1], { a: {} });

// Guards against a part that starts before all parts are prepared.
test('parts start together', () => {
  const state = createPair();
  const prepared = submit(state, 0, 'j', 'a', wide);
  expect(listCalls(prepared)).toEqual(['prepareTask j.1.0 w0', 'prepareTask j.1.1 w1']);
  const call = { type: 'taskAnswered', call: 'prepareTask', accepted: true } as const;
  expect(listCalls(send(state, 1, { ...call, workerId: 'w0', taskId: 'j.1.0' }))).toEqual([]);
  const started = send(state, 2, { ...call, workerId: 'w1', taskId: 'j.1.1' });
  expect(listCalls(started)).toEqual(['startTask j.1.0 w0', 'startTask j.1.1 w1']);
});

// Guards against a start that nobody records when the lead dies right after it.
test('parts start after the peers have the copy', () => {
  const state = createPair();
  const peer = { node: 'vm-2/scheduler', zone: 'z', linked: true, lastHeardAt: 0 } as const;
  state.membership.peers.set(peer.node, peer);
  const ready = answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', wide));
  expect(listCalls(ready)).toEqual([]);
  const { sequence } = state.replication;
  const early = { type: 'replicateAck', from: peer.node, sequence: sequence - 1 } as const;
  expect(listCalls(send(state, 5, early))).toEqual([]);
  const started = send(state, 10, { ...early, sequence });
  expect(listCalls(started)).toEqual(['startTask j.1.0 w0', 'startTask j.1.1 w1']);
});

// Guards against a job that ends with its first part, and against use that is never freed.
test('finishes with its last part', () => {
  const state = createPair();
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', wide));
  renew(state, 1000, 'w0', [describeTask('j.1.0', 2, 'finished')]);
  expect(stateOf(state)).toBe('running');
  renew(state, 1500, 'w1', [describeTask('j.1.1', 2, 'finished')]);
  expect(stateOf(state)).toBe('finished');
  expect(state.jobs.usedByWorker.size).toBe(0);
});

// Guards against a gang whose other parts run on, or wait for ever, after the loss of one part.
test.each([0, 1, 2])('loss of a worker after %i answered calls', (phases) => {
  const state = createPair();
  let effects = submit(state, 0, 'j', 'a', wide);
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
  expect(stateOf(state)).toBe(['preparing', 'starting', 'running'][phases]);
  const stops = loseWorker(state, 10, 'w1');
  expect(listCalls(stops)).toEqual(['stopTask j.1.0 w0']);
  answerTaskCalls(state, 20, stops);
  expect(stateOf(state)).toBe('stopping');
  tick(state, 9600);
  expect(stateOf(state)).toBe('queued');
});

// Guards against a requeue that waits for a lease to expire although the worker forgot the task.
test('restarted worker', () => {
  const state = createPair();
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', wide));
  answerTaskCalls(state, 10, send(state, 10, { type: 'workerRestarted', workerId: 'w1' }));
  expect(state.jobs.jobs.get('j')).toMatchObject({ state: 'running', attempt: 2 });
});

// Guards against cancellation that is lost in a phase, or reported before the parts are stopped.
test.each(['prepare', 'start', 'run'])('cancel during %s', (phase) => {
  const state = createPair();
  const prepares = submit(state, 0, 'j', 'a', wide);
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
  expect(stateOf(state)).toBe('stopping');
  answerTaskCalls(state, 3, prepares);
  answerTaskCalls(state, 3, stops);
  expect(stateOf(state)).toBe('cancelled');
});

// Guards against a repeated or late answer that moves a job into a phase it has left.
test('answers twice and late', () => {
  const state = createPair();
  const prepares = submit(state, 0, 'j', 'a', wide);
  const starts = answerTaskCalls(state, 1, prepares);
  answerTaskCalls(state, 2, prepares);
  answerTaskCalls(state, 2, starts);
  expect(stateOf(state)).toBe('running');
  answerTaskCalls(state, 3, cancel(state, 3, 'j', 'a'));
  expect(answerTaskCalls(state, 4, prepares)).toContainEqual({
    type: 'count',
    name: 'late_answer_dropped',
  });
  expect(stateOf(state)).toBe('cancelled');
});

// Guards against a gang that waits for ever for a part, and a stop that is sent only once.
test('prepare and stop never answered', () => {
  const state = createPair();
  submit(state, 0, 'j', 'a', wide);
  expect(listCalls(tick(state, 2999))).toEqual([]);
  expect(listCalls(tick(state, 3000))).toEqual(['stopTask j.1.0 w0', 'stopTask j.1.1 w1']);
  expect(listCalls(tick(state, 4000))).toEqual(['stopTask j.1.0 w0', 'stopTask j.1.1 w1']);
  renew(state, 4100, 'w0', []);
  renew(state, 4100, 'w1', []);
  expect(state.jobs.jobs.get('j')?.attempt).toBe(1);
});

// Guards against a paused holder that starts a gang on workers which another scheduler holds now.
test('lapsed lease starts nothing', () => {
  const state = createPair();
  const prepares = submit(state, 0, 'j', 'a', wide);
  state.ownership.leases.forEach((lease) => {
    lease.renewalSentAt = 0;
  });
  expect(listCalls(answerTaskCalls(state, 3000, prepares))).toEqual([]);
  expect(listCalls(tick(state, 5000))).toEqual([]);
  expect(listRenewableTasks(state, 'w0', 5000)).toEqual([]);
  const refused = submit(state, 5000, 'k', 'a');
  expect(refused).toContainEqual({ type: 'countRefusal', reason: 'no-lead' });
});

// Guards against renewing the rest of a gang after one part's worker fell silent.
test('renewal is all or none', () => {
  const state = createPair();
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a', wide));
  renew(state, 2000, 'w0', [describeTask('j.1.0', 2, 'running')]);
  expect(listRenewableTasks(state, 'w0', 2999)).toEqual(['j.1.0']);
  expect(listRenewableTasks(state, 'w0', 3000)).toEqual([]);
});

// Guards against adopting only what the new lead knew, and against keeping an incomplete gang.
test('adoption of an unknown gang', () => {
  const state = createPair();
  claim(state, 0, 'w0', [describeTask('j.3.0', 2, 'running')]);
  expect(listRenewableTasks(state, 'w0', 1)).toEqual([]);
  claim(state, 1000, 'w1', [describeTask('j.3.1', 2, 'running')]);
  renew(state, 3900, 'w0', [describeTask('j.3.0', 2, 'running')]);
  renew(state, 3900, 'w1', [describeTask('j.3.1', 2, 'running')]);
  tick(state, 4000);
  expect(stateOf(state)).toBe('running');
  expect(listRenewableTasks(state, 'w0', 4000)).toEqual(['j.3.0']);
  expect(listCalls(claim(state, 4100, 'w0', [describeTask('k.1.0', 2, 'running')]))).toEqual([
    'stopTask j.3.1 w1',
  ]);
  expect(listCalls(tick(state, 7100))).toContain('stopTask k.1.0 w0');
});

// Guards against stopping a healthy gang at take-over, and against running an old attempt beside it.
test('adoption of a replicated gang', () => {
  const lead = createPair();
  answerTaskCalls(lead, 0, submit(lead, 0, 'j', 'a', wide));
  const state = createPair();
  applyReplicatedJob(state, structuredClone(lead.jobs.jobs.get('j')!), 500);
  claim(state, 5000, 'w0', [describeTask('j.1.0', 2, 'running')]);
  const stray = [describeTask('j.1.1', 2, 'running'), describeTask('j.0.1', 2, 'running')];
  expect(listCalls(claim(state, 5100, 'w1', stray))).toEqual(['stopTask j.0.1 w1']);
  expect(listCalls(tick(state, 8000))).toEqual([]);
  expect(stateOf(state)).toBe('running');
});

// Guards against a new lead that waits for ever for a gang whose workers nobody holds.
test('replicated gang without workers', () => {
  const lead = createLeadState([1, 1, 1, 1, 1], { a: {} });
  answerTaskCalls(lead, 0, submit(lead, 0, 'j', 'a', { tasks: 2, adjacency: 'rack' }));
  const state = createLeadState([1, 1, 1, 1, 1], { a: {} });
  applyReplicatedJob(state, structuredClone(lead.jobs.jobs.get('j')!), 0);
  state.ownership.leases.get('w4')!.status = 'notHeld';
  state.ownership.leases.get(state.jobs.jobs.get('j')!.parts[0]!.workerId)!.status = 'notHeld';
  send(state, 100, { type: 'leadChanged', lead: true });
  tick(state, 3100);
  expect(stateOf(state)).toBe('stopping');
});

// Guards against a job that fails everywhere and is started for ever.
test('bad job', () => {
  const state = createLeadState([1, 1, 1, 1], { a: {} });
  let effects = submit(state, 0, 'j', 'a');
  for (let attempt = 1; attempt <= 3; attempt += 1) {
    answerTaskCalls(state, attempt * 60_000, effects);
    const part = state.jobs.jobs.get('j')!.parts[0]!;
    renew(state, attempt * 60_000, part.workerId, [describeTask(part.taskId, 1, 'failed')]);
    effects = tick(state, attempt * 60_000 + 31_000);
  }
  expect(stateOf(state)).toBe('failed');
  expect(state.jobs.jobs.get('j')!.failedSets).toEqual(['w0', 'w1', 'w2']);
});

// Guards against a worker that fails everything it is given and so attracts every job.
test('bad worker', () => {
  const state = createLeadState([1], { a: {} });
  ['j', 'k', 'l'].forEach((id, index) => {
    answerTaskCalls(state, index, submit(state, index, id, 'a'));
    renew(state, index, 'w0', [describeTask(`${id}.1.0`, 1, 'failed')]);
    cancel(state, index, id, 'a');
  });
  expect(listCalls(submit(state, 10, 'm', 'a'))).toEqual([]);
  expect(listCalls(tick(state, 40_000))).toEqual(['prepareTask m.1.0 w0']);
});
