import { err, ok, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';

/** Parses `--expect`: a version, or `new` (version -1) for a subtree that does not exist yet. */
export const parseVersionOption = (
  context: Pick<CliContext, 'options'>,
): Result<string, CliError> => {
  const text = context.options.expect ?? '';
  if (text === 'new') return ok('-1');
  if (/^\d+$/.test(text)) return ok(text);
  const message = text === '' ? '--expect is missing' : `--expect ${text} is not a version`;
  const hint = 'Give the version that "siskin settings show" lists, or "new" for a new subtree.';
  return err({ type: 'usage', message, hint });
};
