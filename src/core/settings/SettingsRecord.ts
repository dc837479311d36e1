import type { z } from 'zod';
import type { settingsRecordSchema } from './settingsRecordSchema.js';

/** One record of the `settings` stream: a proposal, or the whole tree appended again. */
export type SettingsRecord = z.infer<typeof settingsRecordSchema>;
