import type { CliCommand } from './CliCommand.js';
import { cliCommands } from './cliCommands.js';

/** Finds the command whose words begin the command line. */
export const findCommand = (argv: readonly string[]): CliCommand | undefined =>
  cliCommands.find(({ name }) => name.split(' ').every((word, index) => argv[index] === word));
