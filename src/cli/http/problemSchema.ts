import { z } from 'zod';
import { errorCatalogue } from '../../core/errorCatalogue.js';
import type { RefusalReason } from '../../core/RefusalReason.js';

const problemCodes = Object.keys(errorCatalogue) as [RefusalReason, ...RefusalReason[]];

/** Schema of the problem details with which a gateway refuses a request. */
export const problemSchema = z.object({
  type: z.string(),
  title: z.string(),
  status: z.int(),
  detail: z.string(),
  code: z.enum(problemCodes),
  outcome: z.enum(['not-run', 'unknown']),
  hint: z.string(),
  requestId: z.string(),
});
