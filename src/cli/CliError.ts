import type { Problem } from '../core/Problem.js';
import type { RefusalReason } from '../core/RefusalReason.js';

/** Error of a `siskin` command; printed as it is with `--json`. */
export type CliError =
  | { type: 'usage'; message: string; hint: string }
  | { type: 'unreachable'; url: string; message: string }
  /** The connection was lost when the request may already have been processed. */
  | { type: 'interrupted'; url: string; message: string }
  | { type: 'refused'; problem: Problem }
  /** The local check of a settings file failed; `faults` has one line for each error. */
  | { type: 'invalidSettings'; reason: RefusalReason; faults: string[] }
  /** The response is neither a refusal nor valid by the schema. */
  | { type: 'unexpectedAnswer'; status: number; message: string };
