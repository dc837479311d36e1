import { z } from 'zod';
import type { Refusal } from '../Refusal.js';
import { settingsSnapshotSchema } from './settingsSnapshotSchema.js';
import { subtreePathSchema } from './subtreePathSchema.js';

const verdictSchema = z.object({
  proposalId: z.string(),
  path: subtreePathSchema,
  author: z.string(),
  offset: z.int(),
  wall: z.number(),
  // Only recorders write verdicts. Not validated, so that a reason of a newer version is kept.
  refusal: z.custom<Refusal | null>((value) => typeof value === 'object'),
});

/** Schema of the records of the `settings` stream. */
export const settingsRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('proposal'),
    proposalId: z.string().min(1).max(200),
    path: subtreePathSchema,
    expectedVersion: z.int(),
    subtree: z.unknown(),
    author: z.string(),
  }),
  z.object({
    kind: z.literal('tree'),
    /** The projection at the time of the append; `offset` is the newest record that it includes. */
    offset: z.int().min(-1),
    snapshot: settingsSnapshotSchema,
    verdicts: z.array(verdictSchema),
  }),
]);
