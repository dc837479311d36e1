import { z } from 'zod';

/** A job as the control API shows it; fields besides id and state may be absent. */
export const jobSchema = z.looseObject({
  id: z.string(),
  state: z.string(),
  workspace: z.string().optional(),
  zone: z.string().optional(),
  attempt: z.int().optional(),
  reason: z.string().optional(),
  submittedWall: z.number().optional(),
  startedWall: z.number().optional(),
  endedWall: z.number().optional(),
  spec: z
    .looseObject({ tasks: z.int(), acceleratorsPerTask: z.int(), adjacency: z.string() })
    .optional(),
  parts: z
    .array(z.looseObject({ index: z.int(), workerId: z.string(), state: z.string() }))
    .optional(),
});
