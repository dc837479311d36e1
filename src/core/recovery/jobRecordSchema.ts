import { z } from 'zod';

const specSchema = z.looseObject({
  tasks: z.int(),
  acceleratorsPerTask: z.int(),
  adjacency: z.enum(['worker', 'rack', 'zone']),
  declaredMs: z.number(),
  preemptible: z.boolean(),
  urgent: z.boolean(),
  payload: z.string(),
});

/** Schema of the records of the `jobs` stream, as far as recovery needs them. */
export const jobRecordSchema = z.discriminatedUnion('kind', [
  z.looseObject({
    kind: z.literal('jobSubmitted'),
    job: z.looseObject({
      id: z.string(),
      workspace: z.string(),
      zone: z.string(),
      spec: specSchema,
      submittedWall: z.number(),
    }),
  }),
  z.looseObject({ kind: z.literal('jobEnded'), jobId: z.string() }),
]);
