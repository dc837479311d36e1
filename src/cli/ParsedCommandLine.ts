import type { CliCommand } from './CliCommand.js';

/** A parsed command line. */
export type ParsedCommandLine =
  /** Help text, already complete. */
  | { kind: 'help'; text: string }
  | {
      kind: 'command';
      command: CliCommand;
      args: readonly string[];
      options: Readonly<Record<string, string>>;
      switches: ReadonlySet<string>;
    };
