import { z } from 'zod';

const taskFields = { jobId: z.string(), taskId: z.string(), accelerators: z.number() };

const runSchema = z.looseObject({
  ...{ kind: z.literal('run'), taskId: z.string(), accelerators: z.number() },
  ...{ fromWall: z.number(), toWall: z.number(), acceleratorMs: z.number() },
});

/** `acceleratorMs` is negative if too much was recorded; `wall` is the time of the correction. */
const correctionSchema = z.looseObject({
  ...{ kind: z.literal('correction'), id: z.string(), taskId: z.string() },
  ...{ accelerators: z.number(), wall: z.number(), acceleratorMs: z.number() },
});

/** Schema of the usage of a workspace in a period; times are epoch milliseconds. */
export const invoiceSchema = z.looseObject({
  workspace: z.string(),
  fromWall: z.number(),
  toWall: z.number(),
  acceleratorMs: z.number(),
  jobs: z.array(
    z.looseObject({
      jobId: z.string(),
      acceleratorMs: z.number(),
      lines: z.array(z.discriminatedUnion('kind', [runSchema, correctionSchema])),
    }),
  ),
  requests: z.looseObject({
    ...{ answered: z.number(), failed: z.number(), unknown: z.number(), busyMs: z.number() },
  }),
  /** Intervals of unknown usage; `settledBy` is the id of the correction that settles one. */
  unknown: z.array(
    z.looseObject({
      ...{
        ...taskFields,
        fromWall: z.number(),
        toWall: z.number(),
        settledBy: z.string().nullish(),
      },
    }),
  ),
  /** Intervals in which a gateway may have served short requests that were not counted. */
  unknownRequests: z.array(
    z.looseObject({ gateway: z.string(), fromWall: z.number(), toWall: z.number() }),
  ),
  /** Tasks whose end is not recorded. */
  openTasks: z.array(z.looseObject({ ...taskFields, startedWall: z.number() })),
  /** Tasks whose end is recorded, but not their start. */
  tasksWithoutStart: z.array(z.looseObject({ ...taskFields, endedWall: z.number() })),
  /** Oldest offset that the log still holds; usage recorded before it is missing. */
  oldestOffset: z.int().optional(),
});
