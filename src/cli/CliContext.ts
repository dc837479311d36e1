import type { Result } from 'neverthrow';
import type { CliError } from './CliError.js';
import type { ApiResponse } from './http/ApiResponse.js';
import type { ApiCall } from './http/ApiCall.js';

/** What a command may use. */
export interface CliContext {
  /** Positional arguments, as typed. */
  args: readonly string[];
  /** Values of the options given, as typed, by long name without dashes. */
  options: Readonly<Record<string, string>>;
  /** Long names of the switches given. */
  switches: ReadonlySet<string>;
  sendCall: (call: ApiCall) => Promise<Result<ApiResponse, CliError>>;
  /** Prints a line of progress. */
  printProgress: (line: string) => void;
  wait: (durationMs: number) => Promise<void>;
  userName: string;
}
