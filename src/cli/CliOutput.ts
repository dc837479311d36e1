import type { ExitReason } from './ExitReason.js';
import type { Table } from './output/Table.js';

/** Output of a command: `data` is printed with `--json`, `view` without it. */
export interface CliOutput {
  data: unknown;
  view: Table | string | Buffer;
  /** Selects the exit code; `ok` if absent. */
  exit?: ExitReason;
}
