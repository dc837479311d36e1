import { expect, test } from '@jest/globals';
import { endPart } from '../../../src/core/jobs/endPart.js';
import type { Job } from '../../../src/core/jobs/Job.js';
import { markPartLost } from '../../../src/core/jobs/markPartLost.js';
import type { State } from '../../../src/core/State.js';
import { createLeadState } from '../../fixtures/createLeadState.js';
import { jobEvents } from '../../fixtures/jobEvents.js';

const { send, submit, answerTaskCalls, cancel, tick, claim, describeTask, renew } = jobEvents;

const getJob = (state: State, id = 'j'): Job => state.jobs.jobs.get(id)!;
const findAnswer = (effects: ReturnType<typeof submit>): unknown =>
  effects.find((effect) => effect.type === 'send' && effect.message.type === 'commandResult');

// Guards against an accepted job that is lost with its scheduler, and against a refusal as not run
// of a job that another scheduler may run.
test('submission is answered once the peers have its copy', () => {
  const state = createLeadState([4], { a: {} });
  send(state, 0, { type: 'linkOpened', node: 'vm-2/scheduler', zone: 'z' });
  expect(findAnswer(submit(state, 1, 'j', 'a'))).toBeUndefined();
  const { sequence } = state.replication;
  expect(findAnswer(tick(state, 100))).toBeUndefined();
  send(state, 150, { type: 'replicateAck', from: 'vm-2/scheduler', sequence });
  expect(findAnswer(tick(state, 200))).toMatchObject({ message: { result: { ok: true } } });
  submit(state, 300, 'k', 'a');
  state.ownership.leases.get('w0')!.status = 'notHeld';
  const refusal = { reason: 'no-lead', outcome: 'unknown' };
  expect(findAnswer(tick(state, 400))).toMatchObject({ message: { result: { refusal } } });
});

// Guards against replicated jobs that are stored without the indexes that adoption needs.
test('new lead adopts a replicated job', () => {
  const lead = createLeadState([1, 1], { a: {} });
  answerTaskCalls(lead, 0, submit(lead, 0, 'j', 'a', { tasks: 2 }));
  const state = createLeadState([1, 1], { a: {} });
  state.ownership.leases.forEach((lease) => {
    lease.status = 'notHeld';
  });
  const copy = { keys: [], freedKeys: [], complete: true, jobs: [structuredClone(getJob(lead))] };
  send(state, 5, { type: 'replicate', from: 'vm-9/scheduler', sequence: 1, ...copy });
  expect([...state.jobs.tasksByWorker.keys()]).toEqual(['w0', 'w1']);
  state.ownership.leases.get('w0')!.status = 'held';
  state.ownership.leases.get('w1')!.status = 'held';
  claim(state, 10, 'w0', [describeTask('j.1.0', 2, 'running')]);
  claim(state, 20, 'w1', []);
  expect(getJob(state).state).toBe('stopping');
});

// Guards against a job table that grows without bound, and against deleting a job too early.
test('ended jobs are deleted after a day', () => {
  const state = createLeadState([1], { a: {} });
  submit(state, 0, 'j', 'a');
  answerTaskCalls(state, 1, cancel(state, 1, 'j', 'a'));
  tick(state, 86_400_000);
  expect(state.jobs.jobs.size).toBe(1);
  tick(state, 86_400_001);
  expect([state.jobs.jobs.size, state.jobs.jobsByWorkspace.size]).toEqual([0, 0]);
});

// Guards against guessed usage: a start or an end that was not observed gives an unknown interval.
test('unobserved start or end is recorded as unknown', () => {
  const state = createLeadState([1], { a: {} });
  answerTaskCalls(state, 0, submit(state, 0, 'j', 'a'));
  renew(state, 1000, 'w0', [describeTask('j.1.0', 1, 'running')]);
  const { parts, ...job } = structuredClone(getJob(state));
  const [part] = parts;
  const getEmittedEvent = (effects: ReturnType<typeof submit>): unknown =>
    effects[0]?.type === 'emit' ? effects[0].event : null;
  const event = { at: 4000, wall: 1_004_000 };
  const lost = markPartLost(state, { ...job, parts }, { ...part! }, event, false);
  expect(getEmittedEvent(lost)).toMatchObject({
    records: [
      { kind: 'taskUnknown', id: 'j/1/0/taskUnknown', fromWall: 1_001_000, toWall: 1_011_500 },
    ],
  });
  const unobserved = { ...part!, startedWall: null };
  const ended = endPart(state, { ...job, parts }, unobserved, 'stopped', event);
  expect(getEmittedEvent(ended)).toMatchObject({
    records: [{ kind: 'taskUnknown', fromWall: 1_000_000, toWall: 1_004_000 }],
  });
});
