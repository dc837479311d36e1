import { err, ok, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';

/** Parses an option whose value must be an integer of at least 1. */
export const parsePositiveIntegerOption = (
  context: Pick<CliContext, 'options'>,
  name: string,
): Result<number, CliError> => {
  const text = context.options[name];
  const number = Number(text);
  if (text !== undefined && /^\d+$/.test(text) && number >= 1 && Number.isSafeInteger(number)) {
    return ok(number);
  }
  const message = text === undefined ? `--${name} is missing` : `--${name} ${text} is not valid`;
  return err({ type: 'usage', message, hint: `Give a whole number of at least 1.` });
};
