import type { Result } from 'neverthrow';
import type { CliContext } from './CliContext.js';
import type { CliError } from './CliError.js';
import type { CliOption } from './CliOption.js';
import type { CliOutput } from './CliOutput.js';

/** A command of the `siskin` command line. */
export interface CliCommand {
  /** The words after `siskin`, for example `jobs submit`. */
  name: string;
  /** Positional arguments in the notation of the cac package, for example `<workspace> [id]`. */
  args: string;
  description: string;
  options: readonly CliOption[];
  /** Arguments after `siskin NAME`, one entry per example. */
  examples: readonly string[];
  run: (context: CliContext) => Promise<Result<CliOutput, CliError>>;
}
