import { z } from 'zod';
import type { TaskPayload } from './TaskPayload.js';

const payloadSchema = z.object({
  runMs: z.number().min(0).default(1000),
  fail: z.boolean().default(false),
  checkpointMs: z.number().min(0).default(200),
});

/** Parses a task's payload; an invalid one yields a task that fails as soon as it starts. */
export const parsePayload = (payload: string): TaskPayload => {
  try {
    return payloadSchema.parse(payload === '' ? {} : JSON.parse(payload));
  } catch {
    return { runMs: 0, fail: true, checkpointMs: 0 };
  }
};
