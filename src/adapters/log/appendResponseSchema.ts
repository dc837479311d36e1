import { z } from 'zod';

/** Schema of the log's answer to an append. */
export const appendResponseSchema = z.object({ firstOffset: z.int().min(0) });
