import { z } from 'zod';

/** Schema of a worker's response to a lease call. */
export const workerReportSchema = z.looseObject({
  incarnation: z.string(),
  leaving: z.boolean(),
  lastRenewal: z.looseObject({
    holder: z.string().nullable(),
    ageMs: z.number().min(0),
    released: z.boolean(),
  }),
  tasks: z.array(
    z.looseObject({
      taskId: z.string(),
      jobId: z.string(),
      workspace: z.string(),
      attempt: z.number().int(),
      index: z.number().int(),
      parts: z.number().int(),
      accelerators: z.number().int(),
      state: z.enum([
        'assigned',
        'prepared',
        'running',
        'checkpointing',
        'finished',
        'failed',
        'stopped',
        'lost',
      ]),
      checkpoint: z.string().optional(),
      ranMs: z.number(),
      endedAgoMs: z.number().optional(),
    }),
  ),
  activeRequests: z.array(z.string()),
});
