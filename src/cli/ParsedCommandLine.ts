import type { CliCommand } from './CliCommand.js';

/** A parsed command line: a request for help, or a command with its arguments. */
export type ParsedCommandLine =
  /** `text` is the complete help text. */
  | { kind: 'help'; text: string }
  | {
      kind: 'command';
      command: CliCommand;
      args: readonly string[];
      options: Readonly<Record<string, string>>;
      switches: ReadonlySet<string>;
    };
