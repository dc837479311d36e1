import type { z } from 'zod';
import type { statusSchema } from './statusSchema.js';

/** Status of all zones as shown to operators. */
export type ApiStatus = z.output<typeof statusSchema>;
