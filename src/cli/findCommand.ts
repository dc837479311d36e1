import type { CliCommand } from './CliCommand.js';
import { cliCommands } from './cliCommands.js';

/** Finds the command whose name the command line begins with. */
export const findCommand = (argv: readonly string[]): CliCommand | undefined =>
  cliCommands.find(({ name }) => name.split(' ').every((word, index) => argv[index] === word));
