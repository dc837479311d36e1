import { z } from 'zod';
import { nameSchema } from './nameSchema.js';

/** Schema of one guaranteed shape. */
export const guaranteeShapeSchema = z.looseObject({
  zone: nameSchema,
  workers: z.int().min(1).max(1024),
  acceleratorsPerWorker: z.int().min(1).max(1024),
  adjacency: z.enum(['worker', 'rack', 'zone']).default('zone'),
});
