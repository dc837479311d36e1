import type { ConfigError } from './ConfigError.js';

type Formatters = {
  [T in ConfigError['type']]: (error: Extract<ConfigError, { type: T }>) => string;
};

const formatters: Formatters = {
  unreadable: ({ file, reason }) => `${file}: cannot be read: ${reason}`,
  invalidToml: ({ file, line, column, reason }) => `${file}:${line}:${column}: ${reason}`,
  invalidValues: ({ file, issues }) =>
    issues
      .map(({ path, value, expected }) => `${file}: ${path || '(file)'} = ${value}: ${expected}`)
      .join('\n'),
};

/** Formats a configuration error for the operator, one line per invalid field. */
export const formatConfigError = (error: ConfigError): string =>
  // TypeScript can't infer that the formatter found by type accepts this error.
  (formatters[error.type] as (input: ConfigError) => string)(error);
