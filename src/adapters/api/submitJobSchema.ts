import { z } from 'zod';

const countSchema = z.int('expected a whole number').min(1, 'expected at least 1');

/** Body of a job submission. */
export const submitJobSchema = z.strictObject({
  zone: z
    .string()
    .min(1)
    .optional()
    .describe('Zone of the job; defaults to the zone of the gateway.'),
  tasks: countSchema.describe('Number of tasks that run together.'),
  acceleratorsPerTask: countSchema.describe('Accelerators of each task.'),
  adjacency: z
    .enum(['worker', 'rack', 'zone'], 'expected "worker", "rack" or "zone"')
    .default('zone')
    .describe('Smallest unit of the topology that must contain all tasks.'),
  declaredMs: countSchema.describe('Expected run time in milliseconds.'),
  preemptible: z.boolean('expected true or false').default(false),
  urgent: z.boolean('expected true or false').default(false),
  payload: z.string('expected a string').default('').describe('Opaque input for the worker.'),
});
