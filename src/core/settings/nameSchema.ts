import { z } from 'zod';

/**
 * Name of a zone, worker, rack, team or workspace. Names are keys of plain objects and segments of
 * URLs, so `constructor`, the only inherited property that the pattern would match, is excluded.
 */
export const nameSchema = z.string().regex(/^(?!constructor$)[a-z0-9][a-z0-9._-]{0,62}$/, {
  error: 'expected 1 to 63 characters of a-z, 0-9, ".", "_" and "-"',
});
