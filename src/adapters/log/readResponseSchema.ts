import { z } from 'zod';

/** Schema of the log service's response to a read. */
export const readResponseSchema = z.object({
  records: z.array(z.object({ offset: z.int().min(0), wall: z.number(), data: z.unknown() })),
  nextOffset: z.int().min(0),
  oldestOffset: z.int().min(0),
});
