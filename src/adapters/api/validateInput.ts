import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** Validates the input called `name`; the error lists each invalid field and what is expected. */
export const validateInput = <T>(
  schema: z.ZodType<T>,
  input: unknown,
  name: string,
): Result<T, string> => {
  const checked = schema.safeParse(input);
  if (checked.success) return ok(checked.data);
  const messages = checked.error.issues.map(
    ({ path, message }) => `${[name, ...path.map(String)].join('.')}: ${message}.`,
  );
  return err(messages.join(' '));
};
