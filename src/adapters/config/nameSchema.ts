import { z } from 'zod';

/** Id of a VM or zone; the restriction keeps ids usable in URLs, metric tags and node ids. */
export const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/,
    'expected 1 to 63 letters, digits, "-", "_" or ".", beginning with a letter or digit',
  );
