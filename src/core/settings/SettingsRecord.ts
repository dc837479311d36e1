import type { z } from 'zod';
import type { settingsRecordSchema } from './settingsRecordSchema.js';

/** One record of the `settings` stream: a proposal, or a copy of the whole tree. */
export type SettingsRecord = z.infer<typeof settingsRecordSchema>;
