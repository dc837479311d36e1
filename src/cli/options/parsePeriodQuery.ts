import { err, ok, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';

const timePattern = /^\d{4}-\d{2}-\d{2}(T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2}))?$/;

const parseTime = (
  context: Pick<CliContext, 'options'>,
  name: string,
): Result<string, CliError> => {
  const text = context.options[name] ?? '';
  const epochMs = timePattern.test(text) ? Date.parse(text) : Number.NaN;
  if (!Number.isNaN(epochMs)) return ok(new Date(epochMs).toISOString());
  const message = text === '' ? `--${name} is missing` : `--${name} ${text} is not a time`;
  const hint = 'Give a UTC date or time, for example 2030-01-31 or 2030-01-31T12:00:00Z.';
  return err({ type: 'usage', message, hint });
};

/** Parses `--from` and `--to` into a query string; a date without a time means midnight UTC. */
export const parsePeriodQuery = (context: Pick<CliContext, 'options'>): Result<string, CliError> =>
  parseTime(context, 'from').andThen((from) =>
    parseTime(context, 'to').map((to) => new URLSearchParams({ from, to }).toString()),
  );
