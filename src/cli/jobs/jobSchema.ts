import { z } from 'zod';

/**
 * Schema of a job of the control API. Fields other than id and state may be absent or null; times
 * are epoch milliseconds.
 */
export const jobSchema = z.looseObject({
  id: z.string(),
  state: z.string(),
  workspace: z.string().nullish(),
  zone: z.string().nullish(),
  /** Number of times that the gang was started. */
  attempt: z.int().nullish(),
  /** Why the job waits, failed or was stopped. */
  reason: z.string().nullish(),
  /** Why the job waits, as a sentence of the scheduler. */
  explanation: z.string().nullish(),
  submittedWall: z.number().nullish(),
  startedWall: z.number().nullish(),
  endedWall: z.number().nullish(),
  spec: z
    .looseObject({ tasks: z.int(), acceleratorsPerTask: z.int(), adjacency: z.string() })
    .nullish(),
  parts: z
    .array(z.looseObject({ index: z.int(), workerId: z.string(), state: z.string() }))
    .nullish(),
});
