import { z } from 'zod';
import { nameSchema } from './nameSchema.js';

/** Schema of one registered worker. */
export const workerSettingsSchema = z.looseObject({
  url: z.string().regex(/^http:\/\/(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, {
    error: 'expected a URL of the form http://<IP address>:<port>',
  }),
  rack: nameSchema,
  accelerators: z.int().min(0).max(1024),
  slots: z.int().min(1).max(10_000),
  connections: z.int().min(1).max(100_000).default(64),
  drained: z.boolean().default(false),
});
