import { z } from 'zod';
import { guaranteeShapeSchema } from './guaranteeShapeSchema.js';
import { nameSchema } from './nameSchema.js';

const workspaceSettingsSchema = z.looseObject({
  weight: z.number().min(0.001).max(1000).default(1),
  guarantees: z.array(guaranteeShapeSchema).max(100).default([]),
  // No default, because there is no quota that suits every workspace.
  maxAccelerators: z.int().min(0).max(1_000_000),
  maxQueuedRequests: z.int().min(0).max(1_000_000).default(1000),
});

const tokenHashSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, { error: 'expected a SHA-256 hash in lowercase hexadecimal' });

/** Schema of the subtree of one team. */
export const teamSettingsSchema = z.looseObject({
  tokenHashes: z.array(tokenHashSchema).max(100).default([]),
  workspaces: z.record(nameSchema, workspaceSettingsSchema).default({}),
});
