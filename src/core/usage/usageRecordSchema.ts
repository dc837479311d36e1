import { z } from 'zod';

const taskFields = {
  id: z.string(),
  workspace: z.string(),
  jobId: z.string(),
  taskId: z.string(),
  accelerators: z.number().min(0),
};
const count = z.number().min(0);

/** Schema of the records of the `usage` stream. */
export const usageRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...taskFields,
    kind: z.enum(['taskStarted', 'taskEnded']),
    workerId: z.string(),
    wall: z.number(),
  }),
  z.object({
    ...taskFields,
    kind: z.literal('taskUnknown'),
    workerId: z.string(),
    fromWall: z.number(),
    toWall: z.number(),
  }),
  z.object({
    kind: z.literal('requests'),
    id: z.string(),
    workspace: z.string(),
    answered: count,
    failed: count,
    unknown: count,
    busyMs: count,
    wall: z.number(),
  }),
  z.object({
    kind: z.literal('requestsUnknown'),
    id: z.string(),
    workspace: z.string(),
    gateway: z.string(),
    fromWall: z.number(),
    toWall: z.number(),
  }),
  z.object({
    ...taskFields,
    kind: z.literal('correction'),
    deltaMs: z.number(),
    wall: z.number(),
  }),
]);
