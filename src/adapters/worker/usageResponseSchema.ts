import { z } from 'zod';

/** Schema of a worker's usage report: its ended tasks, in order of their end. */
export const usageResponseSchema = z.looseObject({
  incarnation: z.string(),
  lines: z.array(
    z.looseObject({
      seq: z.number().int(),
      taskId: z.string(),
      jobId: z.string(),
      workspace: z.string(),
      accelerators: z.number().int(),
      startedWall: z.number(),
      endedWall: z.number(),
    }),
  ),
});
