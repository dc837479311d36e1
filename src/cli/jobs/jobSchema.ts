import { z } from 'zod';

/** Schema of a job of the control API; fields other than id and state may be absent or null. */
export const jobSchema = z.looseObject({
  id: z.string(),
  state: z.string(),
  workspace: z.string().nullish(),
  zone: z.string().nullish(),
  attempt: z.int().nullish(),
  reason: z.string().nullish(),
  /** Text of the scheduler on why the job waits. */
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
