import { errorCatalogue } from '../../core/errorCatalogue.js';
import type { CliError } from '../CliError.js';
import { formatCell } from './formatCell.js';

type Formatters = {
  [T in CliError['type']]: (error: Extract<CliError, { type: T }>) => [string, string];
};

/** Message and hint of each kind of error. */
const formatters: Formatters = {
  usage: ({ message, hint }) => [message, hint],
  unreachable: ({ url, message }) => [
    `cannot reach ${url}: ${message}`,
    'Check --url or SISKIN_URL, and that a gateway listens there.',
  ],
  interrupted: ({ url, message }) => [
    `the connection to ${url} broke before the answer: ${message}`,
    errorCatalogue['outcome-unknown'].hint,
  ],
  refused: ({ problem }) => [
    `${problem.code}: ${problem.detail} (request ${problem.requestId})`,
    problem.hint,
  ],
  invalidSettings: ({ reason, faults }) => [faults.join('\n'), errorCatalogue[reason].hint],
  unexpectedAnswer: ({ status, message }) => [
    `unexpected answer with status ${status}: ${message}`,
    'Check that --url names a gateway of siskinhollow of the same version.',
  ],
};

/** Formats an error as two lines, the message and the hint. */
export const formatCliError = (error: CliError): string => {
  // The type selects the formatter that accepts this error; the look-up erases that tie.
  const formatter = formatters[error.type] as (input: CliError) => [string, string];
  const [message, hint] = formatter(error);
  const errors = message.split('\n').map((line) => `error: ${formatCell(line)}\n`);
  return `${errors.join('')}hint: ${formatCell(hint)}\n`;
};
