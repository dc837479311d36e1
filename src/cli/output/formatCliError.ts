import { errorCatalogue } from '../../core/errorCatalogue.js';
import type { CliError } from '../CliError.js';
import { formatCell } from './formatCell.js';

type Formatters = {
  [T in CliError['type']]: (error: Extract<CliError, { type: T }>) => [string, string];
};

/** Formats message and hint of each type of error. */
const formatters: Formatters = {
  usage: ({ message, hint }) => [message, hint],
  unreachable: ({ url, message }) => [
    `cannot reach ${url}: ${message}`,
    'Check --url or SISKIN_URL, and that a gateway listens there.',
  ],
  interrupted: ({ url, message }) => [
    `the connection to ${url} was lost before the response: ${message}`,
    errorCatalogue['outcome-unknown'].hint,
  ],
  refused: ({ problem }) => [
    `${problem.code}: ${problem.detail} (request ${problem.requestId})`,
    problem.hint,
  ],
  invalidSettings: ({ reason, faults }) => [faults.join('\n'), errorCatalogue[reason].hint],
  unexpectedAnswer: ({ status, message }) => [
    `unexpected response with status ${status}: ${message}`,
    'Check that --url names a siskinhollow gateway of the same version as siskin.',
  ],
};

/** Formats an error as text: an `error:` line for each line of its message, then a `hint:` line. */
export const formatCliError = (error: CliError): string => {
  // TypeScript can't infer that the formatter found by type accepts this error.
  const formatter = formatters[error.type] as (input: CliError) => [string, string];
  const [message, hint] = formatter(error);
  const errors = message.split('\n').map((line) => `error: ${formatCell(line)}\n`);
  return `${errors.join('')}hint: ${formatCell(hint)}\n`;
};
