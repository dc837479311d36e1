import { z } from 'zod';
import type { Message } from '../../core/Message.js';

const textSchema = z.string().max(4096);
const countSchema = z.number().int().min(0);
const outcomeSchema = z.enum(['not-run', 'unknown']);

const refusalSchema = z.looseObject({
  reason: textSchema,
  outcome: outcomeSchema,
  retryAfterMs: z.number().min(0).optional(),
  detail: z.string().optional(),
});

const keySchema = z.looseObject({
  id: textSchema,
  requestId: textSchema,
  state: z.enum(['running', 'finished', 'unknown']),
});

const jobSchema = z.looseObject({
  id: textSchema,
  workspace: textSchema,
  zone: textSchema,
  state: textSchema,
  attempt: countSchema,
  parts: z.array(z.looseObject({ index: countSchema, taskId: textSchema, workerId: textSchema })),
  spec: z.looseObject({ tasks: countSchema, acceleratorsPerTask: countSchema }),
});

const recoveredJobSchema = jobSchema.pick({ id: true, workspace: true, zone: true, spec: true });

const recordSchema = z.looseObject({ kind: textSchema, id: textSchema });

const batchFields = { batchId: textSchema, records: z.array(recordSchema) };

const snapshotSchema = z.looseObject({
  version: z.number().int(),
  subtreeVersions: z.record(z.string(), z.number()),
  tree: z.looseObject({
    zones: z.record(z.string(), z.looseObject({})),
    teams: z.record(z.string(), z.looseObject({})),
  }),
});

/**
 * Schemas of all messages between daemons. Unknown fields are kept, so that an older daemon reads
 * what a newer one sends.
 */
export const messageSchemas: Readonly<Record<Message['type'], z.ZodType>> = {
  heartbeat: z.looseObject({
    type: z.literal('heartbeat'),
    zone: textSchema,
    incarnation: textSchema,
    lead: z.boolean(),
    heldWorkers: countSchema,
    draining: z.boolean(),
    settingsVersion: z.number().int(),
  }),
  goodbye: z.looseObject({ type: z.literal('goodbye') }),
  grantRequest: z.looseObject({
    type: z.literal('grantRequest'),
    requestId: textSchema,
    attempt: countSchema,
    workspace: textSchema,
    requestClass: textSchema,
    idempotent: z.boolean(),
    idempotencyKey: textSchema.optional(),
    timeoutMs: z.number(),
    avoid: z.array(textSchema),
  }),
  grant: z.looseObject({
    type: z.literal('grant'),
    requestId: textSchema,
    attemptId: textSchema,
    workerId: textSchema,
    url: textSchema,
    waitedMs: z.number(),
    startWithinMs: z.number(),
  }),
  refuseGrant: z.looseObject({
    type: z.literal('refuseGrant'),
    requestId: textSchema,
    attempt: countSchema,
    refusal: refusalSchema,
  }),
  releaseGrant: z.looseObject({
    type: z.literal('releaseGrant'),
    requestId: textSchema,
    attemptId: textSchema,
    outcome: z.enum(['answered', 'failed', 'not-sent', 'unknown', 'unused', 'abandoned']),
    elapsedMs: z.number(),
  }),
  cancelGrant: z.looseObject({
    type: z.literal('cancelGrant'),
    requestId: textSchema,
    attempt: countSchema,
  }),
  replicate: z.looseObject({
    type: z.literal('replicate'),
    sequence: countSchema,
    keys: z.array(keySchema),
    freedKeys: z.array(textSchema),
    jobs: z.array(jobSchema),
    complete: z.boolean(),
    supplement: z.literal(true).optional(),
  }),
  replicateAck: z.looseObject({ type: z.literal('replicateAck'), sequence: countSchema }),
  jobsQuery: z.looseObject({
    type: z.literal('jobsQuery'),
    queryId: textSchema,
    zone: textSchema,
  }),
  jobsRecovered: z.looseObject({
    type: z.literal('jobsRecovered'),
    queryId: textSchema,
    jobs: z.array(recoveredJobSchema),
    complete: z.boolean(),
  }),
  command: z.looseObject({
    type: z.literal('command'),
    requestId: textSchema,
    command: z.looseObject({ kind: textSchema }),
  }),
  commandResult: z.looseObject({
    type: z.literal('commandResult'),
    requestId: textSchema,
    result: z.union([
      z.looseObject({ ok: z.literal(true), data: z.unknown() }),
      z.looseObject({ ok: z.literal(false), refusal: refusalSchema }),
    ]),
  }),
  settingsTree: z.looseObject({ type: z.literal('settingsTree'), snapshot: snapshotSchema }),
  settingsQuery: z.looseObject({ type: z.literal('settingsQuery'), version: z.number().int() }),
  usageCopy: z.looseObject({
    type: z.literal('usageCopy'),
    sequence: countSchema,
    records: z.array(recordSchema),
    storedBefore: countSchema,
  }),
  usageRecords: z.looseObject({ type: z.literal('usageRecords'), ...batchFields }),
  usageStored: z.looseObject({ type: z.literal('usageStored'), batchId: textSchema }),
  usageReplica: z.looseObject({ type: z.literal('usageReplica'), ...batchFields }),
  usageReplicaAck: z.looseObject({ type: z.literal('usageReplicaAck'), batchId: textSchema }),
  usageDurable: z.looseObject({ type: z.literal('usageDurable'), batchId: textSchema }),
};
