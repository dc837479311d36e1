import type { Result } from 'neverthrow';
import type { CliError } from './CliError.js';
import type { ApiResponse } from './http/ApiResponse.js';
import type { ApiCall } from './http/ApiCall.js';

/** The parsed command line and the functions that a command may call. */
export interface CliContext {
  /** Positional arguments as typed. */
  args: readonly string[];
  /** Option values as typed, by long name without dashes. */
  options: Readonly<Record<string, string>>;
  /** Long names of the switches that are set. */
  switches: ReadonlySet<string>;
  sendCall: (call: ApiCall) => Promise<Result<ApiResponse, CliError>>;
  /** Prints a progress line to stderr, so that stdout holds only the result. */
  printProgress: (line: string) => void;
  wait: (durationMs: number) => Promise<void>;
  userName: string;
}
