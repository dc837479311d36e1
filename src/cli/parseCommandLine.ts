import { cac } from 'cac';
import { err, ok, type Result } from 'neverthrow';
import type { CliCommand } from './CliCommand.js';
import type { CliError } from './CliError.js';
import type { ParsedCommandLine } from './ParsedCommandLine.js';
import { findCommand } from './findCommand.js';
import { formatHelp } from './formatHelp.js';
import { globalOptions } from './globalOptions.js';
import { readRawOptions } from './options/readRawOptions.js';

const listOptionNames = (command: CliCommand, withValue: boolean): string[] =>
  [...command.options, ...globalOptions]
    .filter(({ flags }) => flags.includes('<') === withValue)
    .map(({ flags }) => flags.replace(/^--/, '').split(' ')[0] ?? '');

/** Creates a parser for one command, because cac matches only the first word of a command name. */
const createParser = (command: CliCommand) => {
  const parser = cac(`siskin ${command.name}`);
  const definition = parser.command(command.args, command.description);
  [...command.options, ...globalOptions].forEach(({ flags, description }) =>
    definition.option(flags, description),
  );
  definition.option('-h, --help', 'Show this help');
  definition.action(() => undefined);
  return parser;
};

const formatCommandHelp = (command: CliCommand): string => {
  const options = [...command.options, ...globalOptions];
  const width = Math.max(...options.map(({ flags }) => flags.length));
  return [
    `Usage: ${`siskin ${command.name} ${command.args}`.trim()} [options]`,
    '',
    `${command.description}.`,
    '',
    'Options:',
    ...options.map(({ flags, description }) => `  ${flags.padEnd(width)}  ${description}`),
    '',
    'Examples:',
    ...command.examples.map((example) => `  $ ${`siskin ${command.name} ${example}`.trim()}`),
    '',
  ].join('\n');
};

const parseCommand = (
  command: CliCommand,
  commandArgv: string[],
): Result<ParsedCommandLine, CliError> => {
  const parser = createParser(command);
  try {
    const { args, options } = parser.parse(['node', 'siskin', ...commandArgv], { run: false });
    if (options.help) return ok({ kind: 'help', text: formatCommandHelp(command) });
    parser.runMatchedCommand();
    const names = new Set(listOptionNames(command, true));
    const switches = listOptionNames(command, false).filter((name) => options[name] === true);
    return ok({
      kind: 'command',
      command,
      args,
      options: readRawOptions(commandArgv, names),
      switches: new Set(switches),
    });
  } catch (error) {
    if ((error as Error).name !== 'CACError') throw error;
    const hint = `Run "siskin ${command.name} --help".`;
    return err({ type: 'usage', message: (error as Error).message, hint });
  }
};

/** Parses the arguments that follow the program name. */
export const parseCommandLine = (argv: readonly string[]): Result<ParsedCommandLine, CliError> => {
  if (['--help', '-h', 'help'].includes(argv[0] ?? '--help')) {
    return ok({ kind: 'help', text: formatHelp() });
  }
  const command = findCommand(argv);
  if (command) return parseCommand(command, argv.slice(command.name.split(' ').length));
  const message = `unknown command: ${argv.join(' ')}`;
  return err({ type: 'usage', message, hint: 'Run "siskin --help" for the list of commands.' });
};
