import { z } from 'zod';
import { settingsTreeSchema } from './settingsTreeSchema.js';
import { subtreePathSchema } from './subtreePathSchema.js';

/** Schema of a settings tree with its versions, in messages and in the log. */
export const settingsSnapshotSchema = z.object({
  version: z.int().min(-1),
  subtreeVersions: z.partialRecord(subtreePathSchema, z.int().min(-1)),
  tree: settingsTreeSchema,
});
