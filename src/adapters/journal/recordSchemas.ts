import { z } from 'zod';

const count = z.number().int().nonnegative();

const step = z.object({
  count: z.number().int().positive(),
  need: z.object({ cpu: z.number(), memMb: z.number(), gpu: z.number() }),
  estimateMs: z.number(),
  after: z.array(count),
  gang: z.boolean(),
  sameRack: z.boolean(),
  checkpointing: z.boolean(),
  requiredLabel: z.string(),
  dataRack: z.string(),
  maxPerWorker: count,
  speculative: z.boolean(),
  longRunning: z.boolean(),
  fills: z.boolean(),
});

const jobState = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']);

const taskRow = z.tuple([
  count,
  count,
  count,
  z.enum(['waiting', 'started', 'done']),
  count,
  count,
  z.string(),
  z.string(),
  z.number(),
]);

/** Shapes of the values in the journal; records of other writers fail here. */
export const recordSchemas = {
  submission: z.object({
    id: z.string(),
    queue: z.string(),
    service: z.string(),
    workspace: z.string(),
    acceptedAt: z.number(),
    definition: z.object({
      spec: z.string(),
      steps: z.array(step).min(1),
      schedule: z
        .object({ count: z.number(), startAt: z.number(), intervalMs: z.number() })
        .nullable(),
    }),
  }),
  cancellation: z.object({ at: z.number() }),
  status: z.tuple([jobState, z.number()]),
  progress: z.tuple([
    jobState,
    z.number(),
    z.array(taskRow),
  ]),
  lead: z.object({ token: z.number(), vmId: z.string(), resigned: z.boolean() }),
  usage: z.object({
    workspace: z.string(),
    day: z.string(),
    runs: count,
    gpuMs: count,
    cpuMs: count,
    unknownRuns: count,
    unknownGpuMs: count,
  }),
  speeds: z.array(z.tuple([z.string(), z.number(), z.number()])),
  claim: z.object({ vmId: z.string(), incarnation: z.string() }),
};
