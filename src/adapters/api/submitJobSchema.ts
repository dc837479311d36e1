import { z } from 'zod';

const countSchema = z.int('expected a whole number').min(1, 'expected at least 1');

/** Body of a job submission. */
export const submitJobSchema = z.strictObject({
  zone: z.string().min(1).optional().describe('Zone of the job; that of the gateway if absent.'),
  tasks: countSchema.describe('Number of parts that run together.'),
  acceleratorsPerTask: countSchema.describe('Accelerators of each part.'),
  adjacency: z
    .enum(['worker', 'rack', 'zone'], 'expected "worker", "rack" or "zone"')
    .default('zone')
    .describe('How close the workers of the parts must be.'),
  declaredMs: countSchema.describe('Expected run time in milliseconds.'),
  preemptible: z.boolean('expected true or false').default(false),
  urgent: z.boolean('expected true or false').default(false),
  payload: z.string('expected a text').default('').describe('Opaque input for the worker.'),
});
