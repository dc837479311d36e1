import { z } from 'zod';

/** A job as the control API shows it; fields besides id and state may be absent or null. */
export const jobSchema = z.looseObject({
  id: z.string(),
  state: z.string(),
  workspace: z.string().nullish(),
  zone: z.string().nullish(),
  attempt: z.int().nullish(),
  reason: z.string().nullish(),
  /** Why the job waits, in the words of the scheduler. */
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
