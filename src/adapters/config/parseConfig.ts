import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';
import type { ConfigError } from './ConfigError.js';
import { configSchema } from './configSchema.js';
import { translateIssues } from './translateIssues.js';

const parseToml = (file: string, text: string): Result<unknown, ConfigError> => {
  try {
    return ok(parse(text));
  } catch (error) {
    const { line, column } = error instanceof TomlError ? error : { line: 0, column: 0 };
    const reason = (error as Error).message.split('\n')[0] ?? '';
    return err({ type: 'invalidToml', file, line, column, reason });
  }
};

/** Parses and validates the text of a configuration file; `file` is named in errors. */
export const parseConfig = (
  file: string,
  text: string,
): Result<z.output<typeof configSchema>, ConfigError> =>
  parseToml(file, text).andThen((input) => {
    const checked = configSchema.safeParse(input);
    if (checked.success) return ok(checked.data);
    const issues = translateIssues(checked.error.issues, input);
    return err<never, ConfigError>({ type: 'invalidValues', file, issues });
  });
