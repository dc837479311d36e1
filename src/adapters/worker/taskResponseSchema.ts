import { z } from 'zod';

/** Schema of a worker's response to a task call. */
export const taskResponseSchema = z.looseObject({
  accepted: z.boolean(),
  checkpoint: z.string().optional(),
});
