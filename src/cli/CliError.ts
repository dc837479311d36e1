import type { Problem } from '../core/Problem.js';
import type { RefusalReason } from '../core/RefusalReason.js';

/** Why a command of `siskin` failed. */
export type CliError =
  | { type: 'usage'; message: string; hint: string }
  | { type: 'unreachable'; url: string; message: string }
  /** The connection broke after the request may have been processed. */
  | { type: 'interrupted'; url: string; message: string }
  | { type: 'refused'; problem: Problem }
  /** A settings file was checked here and found wrong; one line for each fault. */
  | { type: 'invalidSettings'; reason: RefusalReason; faults: string[] }
  /** The answer does not have the expected form. */
  | { type: 'unexpectedAnswer'; status: number; message: string };
