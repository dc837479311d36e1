import type { Message } from '../../src/core/Message.js';
import { createRunningJob } from './createRunningJob.js';
import { createSettingsSnapshot } from './createSettingsSnapshot.js';
import { createUsageRecord } from './createUsageRecord.js';

const requestId = '4f7a1c0e-5f1d-4c52-9d0a-3f2b8f6d7a11';
const attemptId = `${requestId}.1`;
const batchId = 'vm-000/scheduler/a1b2c3d4/1';
const refusal = { reason: 'queue-full', outcome: 'not-run', retryAfterMs: 1000 } as const;

const createWorkerIds = (parts: number): string[] =>
  Array.from({ length: parts }, (_, index) => `worker-${String(index % 567).padStart(5, '0')}`);

const createReplicate = (parts: number): Message => ({
  type: 'replicate',
  sequence: 41_000,
  keys: [],
  freedKeys: [],
  jobs:
    parts === 0
      ? []
      : [createRunningJob('job-000000000017', 'workspace-0017', createWorkerIds(parts))],
  complete: true,
});

const createRecords = (
  count: number,
): { batchId: string; records: ReturnType<typeof createUsageRecord>[] } => ({
  batchId,
  records: Array.from({ length: count }, (_, index) => createUsageRecord(index)),
});

/** Messages with realistic contents, by name; a name begins with the message's type. */
export const messageSamples: Readonly<Record<string, () => Message>> = {
  heartbeat: () => ({
    type: 'heartbeat',
    zone: 'zone-00',
    incarnation: 'a1b2c3d4',
    lead: true,
    heldWorkers: 567,
    draining: false,
    settingsVersion: 1_234_567,
  }),
  goodbye: () => ({ type: 'goodbye' }),
  grantRequest: () => ({
    type: 'grantRequest',
    requestId,
    attempt: 1,
    workspace: 'workspace-0017',
    requestClass: 'labels',
    idempotent: true,
    timeoutMs: 10_000,
    avoid: [],
  }),
  grant: () => ({
    type: 'grant',
    requestId,
    attemptId,
    workerId: 'worker-00017',
    url: 'http://10.0.0.17:9100',
    waitedMs: 3,
    startWithinMs: 2000,
  }),
  releaseGrant: () => ({
    type: 'releaseGrant',
    requestId,
    attemptId,
    outcome: 'answered',
    elapsedMs: 83.25,
  }),
  refuseGrant: () => ({ type: 'refuseGrant', requestId, attempt: 1, refusal }),
  cancelGrant: () => ({ type: 'cancelGrant', requestId, attempt: 1 }),
  'replicate, empty': () => createReplicate(0),
  'replicate, job of 20 parts': () => createReplicate(20),
  'replicate, gang of 1024': () => createReplicate(1024),
  replicateAck: () => ({ type: 'replicateAck', sequence: 41_000 }),
  jobsQuery: () => ({ type: 'jobsQuery', queryId: 'vm-000/a1b2c3d4/1', zone: 'zone-00' }),
  'jobsRecovered, empty': () => ({
    type: 'jobsRecovered',
    queryId: 'vm-000/a1b2c3d4/1',
    jobs: [],
    complete: true,
  }),
  'command cancelJob': () => ({
    type: 'command',
    requestId,
    command: { kind: 'cancelJob', workspace: 'workspace-0017', jobId: 'job-000000000017' },
  }),
  commandResult: () => ({ type: 'commandResult', requestId, result: { ok: false, refusal } }),
  'settingsTree, 567 workers': () => ({
    type: 'settingsTree',
    snapshot: createSettingsSnapshot({ workers: 567 }),
  }),
  'settingsTree, 17,000 workers': () => ({
    type: 'settingsTree',
    snapshot: createSettingsSnapshot(),
  }),
  'settingsTree, teams only': () => ({
    type: 'settingsTree',
    snapshot: createSettingsSnapshot({ workers: 0 }),
  }),
  'settingsTree, one team': () => ({
    type: 'settingsTree',
    snapshot: createSettingsSnapshot({ workers: 0, teams: 1 }),
  }),
  settingsQuery: () => ({ type: 'settingsQuery', version: 1_234_567 }),
  'usageRecords, 1 record': () => ({ type: 'usageRecords', ...createRecords(1) }),
  'usageRecords, 500 records': () => ({ type: 'usageRecords', ...createRecords(500) }),
  'usageReplica, 500 records': () => ({ type: 'usageReplica', ...createRecords(500) }),
  usageReplicaAck: () => ({ type: 'usageReplicaAck', batchId }),
  usageStored: () => ({ type: 'usageStored', batchId }),
  'usageCopy, 20 records': () => ({
    type: 'usageCopy',
    sequence: 41_000,
    records: createRecords(20).records,
    storedBefore: 40_990,
  }),
  usageDurable: () => ({ type: 'usageDurable', batchId }),
};
