import { cliCommands } from './cliCommands.js';
import { exitCodes } from './exitCodes.js';
import { globalOptions } from './globalOptions.js';

/** Formats the help text of `siskin`: commands, global options and exit codes. */
export const formatHelp = (): string => {
  const names = cliCommands.map(({ name, args }) => `siskin ${name} ${args}`.trim());
  const pad = (texts: readonly string[], text: string): string =>
    text.padEnd(Math.max(...texts.map(({ length }) => length)));
  const flags = globalOptions.map((option) => option.flags);
  return [
    'siskin - command line for operators and users of siskinhollow',
    '',
    'Commands:',
    ...cliCommands.map(
      ({ description }, index) => `  ${pad(names, names[index] ?? '')}  ${description}`,
    ),
    '',
    'Global options, given after the command:',
    ...globalOptions.map((option) => `  ${pad(flags, option.flags)}  ${option.description}`),
    '',
    'Exit codes:',
    ...Object.values(exitCodes).map(({ code, meaning }) => `  ${code}  ${meaning}`),
    '',
    'Run "siskin COMMAND --help" for options and examples.',
    '',
  ].join('\n');
};
