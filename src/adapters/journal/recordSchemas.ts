import { z } from 'zod';

const nonNegativeInt = z.number().int().nonnegative();

const stepSchema = z.object({
  count: z.number().int().positive(),
  need: z.object({ cpu: z.number(), memMb: z.number(), gpu: z.number() }),
  estimateMs: z.number(),
  after: z.array(nonNegativeInt),
  gang: z.boolean(),
  sameRack: z.boolean(),
  checkpointing: z.boolean(),
  requiredLabel: z.string(),
  dataRack: z.string(),
  maxPerWorker: nonNegativeInt,
  speculative: z.boolean(),
  longRunning: z.boolean(),
  fills: z.boolean(),
});

const jobStateSchema = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']);

// Occurrence, step, index, state, run, failures, worker, checkpoint, start time.
const taskRowSchema = z.tuple([
  nonNegativeInt,
  nonNegativeInt,
  nonNegativeInt,
  z.enum(['waiting', 'started', 'done']),
  nonNegativeInt,
  nonNegativeInt,
  z.string(),
  z.string(),
  z.number(),
]);

/** Schemas of the record values; records of other writers do not match them. */
export const recordSchemas = {
  submission: z.object({
    id: z.string(),
    queue: z.string(),
    queueSettings: z
      .object({
        priority: z.number(),
        maxAttempts: z.number(),
        stretch: z.number(),
        targetLatencyMs: z.number(),
      })
      .nullable()
      .default(null),
    service: z.string(),
    workspace: z.string(),
    acceptedAt: z.number(),
    definition: z.object({
      spec: z.string(),
      steps: z.array(stepSchema).min(1),
      schedule: z
        .object({ count: z.number(), startAt: z.number(), intervalMs: z.number() })
        .nullable(),
    }),
  }),
  cancellation: z.object({ at: z.number() }),
  status: z.tuple([jobStateSchema, z.number()]),
  // State, end, tasks; once an occurrence is finished, the number of the next one and the unfinished ones.
  progress: z.tuple([
    jobStateSchema,
    z.number(),
    z.array(taskRowSchema),
    nonNegativeInt.optional(),
    z.array(nonNegativeInt).optional(),
  ]),
  // The number of the next occurrence and the unfinished ones.
  progressHead: z.tuple([nonNegativeInt, z.array(nonNegativeInt)]),
  progressPart: z.array(taskRowSchema),
  lead: z.object({ token: z.number(), vmId: z.string(), resigned: z.boolean() }),
  usage: z.object({
    workspace: z.string(),
    day: z.string(),
    runs: nonNegativeInt,
    gpuMs: nonNegativeInt,
    cpuMs: nonNegativeInt,
    unknownRuns: nonNegativeInt,
    unknownGpuMs: nonNegativeInt,
  }),
  speeds: z.array(z.tuple([z.string(), z.number(), z.number()])),
  claim: z.object({ vmId: z.string(), incarnation: z.string() }),
};
