import { expect, test } from '@jest/globals';
import type { LogRecord } from '../../../src/core/log/LogRecord.js';
import type { RecoveredJob } from '../../../src/core/recovery/RecoveredJob.js';
import { answerLeaseCalls } from '../../fixtures/answerLeaseCalls.js';
import { findEffects, findMessages } from '../../fixtures/findEffects.js';
import { makeDaemon, type TestDaemon } from '../../fixtures/makeDaemon.js';
import { makeLeaseHolder } from '../../fixtures/makeLeaseHolder.js';
import { makeWorkerReport } from '../../fixtures/makeWorkerReport.js';

const recorder = 'vm-1/recorder';
const scheduler = 'vm-1/scheduler';

const makeJob = (id: string, zone = 'zone-a'): RecoveredJob => ({
  id,
  workspace: 'toys',
  zone,
  spec: {
    ...{ tasks: 1, acceleratorsPerTask: 1, adjacency: 'zone', declaredMs: 1000 },
    ...{ preemptible: false, urgent: false, payload: 'p' },
  },
  submittedWall: 500,
});

const makeLead = (): { daemon: TestDaemon; queryId: string } => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.push({ type: 'linkOpened', node: recorder, zone: 'zone-a' });
  const [query] = findMessages(daemon.push({ type: 'tick' }), 'jobsQuery');
  return { daemon, queryId: query!.queryId };
};

const renewLeases = (daemon: TestDaemon): void => {
  const report = makeWorkerReport('vm-1/i1', 100);
  answerLeaseCalls(daemon, daemon.push({ type: 'tick' }), report);
};

const deliverRecoveredJob = (daemon: TestDaemon, queryId: string): void => {
  daemon.push({
    ...{ type: 'jobsRecovered', from: recorder, queryId, jobs: [makeJob('j1')], complete: true },
  });
};

// Guards against accepted jobs that are lost when every scheduler of a zone fails.
test('lead without a copy recovers jobs from the log', () => {
  const { daemon, queryId } = makeLead();
  deliverRecoveredJob(daemon, queryId);
  for (let second = 0; second < 10; second += 1) {
    daemon.advance(1000);
    renewLeases(daemon);
  }
  const job = daemon.state.jobs.jobs.get('j1');
  expect([job?.spec.payload, job?.state]).toEqual(['p', 'preparing']);
  expect(findMessages(daemon.push({ type: 'tick' }), 'jobsQuery')).toEqual([]);
});

// Guards against a recovered gang that starts while tasks of an older attempt still run.
test('recovered job waits until old task leases have expired', () => {
  const { daemon, queryId } = makeLead();
  deliverRecoveredJob(daemon, queryId);
  for (let second = 0; second < 7; second += 1) {
    daemon.advance(1000);
    renewLeases(daemon);
  }
  expect(daemon.state.jobs.jobs.has('j1')).toBe(false);
});

// Guards against reusing task ids and ids of usage records: the log need not contain the number of
// the job's last attempt.
test('recovered job gets an unused attempt number', () => {
  const { daemon, queryId } = makeLead();
  deliverRecoveredJob(daemon, queryId);
  for (let second = 0; second < 10; second += 1) {
    daemon.advance(1000);
    renewLeases(daemon);
  }
  expect(daemon.state.jobs.jobs.get('j1')?.attempt).toBeGreaterThanOrEqual(10);
});

// Guards against an adopted job that cannot be restarted although the log contains its payload.
test('adopted job gets its specification from the log', () => {
  const { daemon, queryId } = makeLead();
  const task = {
    ...{ taskId: 'j1.3.0', jobId: 'j1', workspace: 'toys', attempt: 3, index: 0, parts: 1 },
    ...{ accelerators: 1, state: 'running' as const, ranMs: 10 },
  } as const;
  daemon.advance(1000);
  const effects = daemon.push({ type: 'tick' });
  answerLeaseCalls(daemon, effects, makeWorkerReport('vm-1/i1', 100, { tasks: [task] }));
  expect(daemon.state.jobs.jobs.get('j1')?.specKnown).toBe(false);
  deliverRecoveredJob(daemon, queryId);
  const job = daemon.state.jobs.jobs.get('j1');
  expect([job?.specKnown, job?.spec.payload, job?.attempt]).toEqual([true, 'p', 3]);
});

// Guards against recovering jobs of other zones, or an ended job whose submission was appended
// again after its end.
test('scan returns the open jobs of the zone', () => {
  const daemon = makeDaemon('recorder');
  const query = { type: 'jobsQuery', from: scheduler, queryId: 'q1', zone: 'zone-a' } as const;
  const submitted = ['j1', 'j2', 'j1'].map((id) => ({ kind: 'jobSubmitted', job: makeJob(id) }));
  const foreign = { kind: 'jobSubmitted', job: makeJob('j3', 'zone-b') };
  const data = [...submitted.slice(0, 2), foreign, { kind: 'jobEnded', jobId: 'j1' }, submitted[2]];
  const records = data.map((value, offset): LogRecord => ({ offset, wall: 0, data: value }));
  const read = (readId: string, page: LogRecord[]) =>
    daemon.push({
      ...{ type: 'logRead', readId, stream: 'jobs', records: page, nextOffset: 5, oldestOffset: 0 },
    });
  const [first] = findEffects(daemon.push(query), 'readLog');
  const [second] = findEffects(read(first!.readId, records), 'readLog');
  const answers = findMessages(read(second!.readId, []), 'jobsRecovered');
  expect(answers).toMatchObject([{ queryId: 'q1', jobs: [{ id: 'j2' }], complete: true }]);
});

// Guards against records of long jobs that expire in the log before the jobs end.
test('open jobs are appended again', () => {
  const { daemon, queryId } = makeLead();
  deliverRecoveredJob(daemon, queryId);
  for (let second = 0; second < 10; second += 1) {
    daemon.advance(1000);
    renewLeases(daemon);
  }
  daemon.state.recovery.nextReappendAt = 0;
  daemon.state.usage.unsentRecords = [];
  daemon.state.usage.nextBatchAt = Infinity;
  daemon.push({ type: 'tick' });
  expect(daemon.state.usage.unsentRecords).toMatchObject([
    { kind: 'jobSubmitted', id: 'j1/jobSubmitted' },
  ]);
});
