import { z } from 'zod';
import { nameSchema } from './nameSchema.js';
import { workerSettingsSchema } from './workerSettingsSchema.js';

/** Schema of the subtree `zones`. */
export const zonesSchema = z.record(
  nameSchema,
  z.looseObject({ workers: z.record(nameSchema, workerSettingsSchema).default({}) }),
);
