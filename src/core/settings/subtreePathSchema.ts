import { z } from 'zod';
import { nameSchema } from './nameSchema.js';
import type { SubtreePath } from './SubtreePath.js';

/** Schema of the path of a subtree. */
export const subtreePathSchema = z.custom<SubtreePath>(
  (value) =>
    value === 'zones' ||
    (typeof value === 'string' &&
      value.startsWith('teams/') &&
      nameSchema.safeParse(value.slice('teams/'.length)).success),
  { error: 'expected "zones" or "teams/<team>"' },
);
