import type { z } from 'zod';
import type { jobSchema } from './jobSchema.js';

/** A job as the control API returns it. */
export type ApiJob = z.output<typeof jobSchema>;
