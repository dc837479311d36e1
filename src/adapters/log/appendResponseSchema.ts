import { z } from 'zod';

/** Schema of the log service's response to an append. */
export const appendResponseSchema = z.object({ firstOffset: z.int().min(0) });
