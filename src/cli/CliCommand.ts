import type { Result } from 'neverthrow';
import type { CliContext } from './CliContext.js';
import type { CliError } from './CliError.js';
import type { CliOption } from './CliOption.js';
import type { CliOutput } from './CliOutput.js';

/** One command of `siskin`. */
export interface CliCommand {
  /** Words after `siskin`, for example `jobs submit`. */
  name: string;
  /** Positional arguments in the notation of cac, for example `<workspace> [id]`. */
  args: string;
  description: string;
  options: readonly CliOption[];
  /** Arguments behind `siskin NAME`, one example each. */
  examples: readonly string[];
  run: (context: CliContext) => Promise<Result<CliOutput, CliError>>;
}
