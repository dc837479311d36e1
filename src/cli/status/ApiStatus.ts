import type { z } from 'zod';
import type { statusSchema } from './statusSchema.js';

/** Status of all zones as the control API returns it. */
export type ApiStatus = z.output<typeof statusSchema>;
