import { z } from 'zod';
import { nameSchema } from './nameSchema.js';
import { teamSettingsSchema } from './teamSettingsSchema.js';
import { zonesSchema } from './zonesSchema.js';

/** Schema of the whole tree; `findConflict` checks the rules across subtrees. */
export const settingsTreeSchema = z.looseObject({
  zones: zonesSchema.default({}),
  teams: z.record(nameSchema, teamSettingsSchema).default({}),
});
