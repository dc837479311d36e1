import type { ExitReason } from './ExitReason.js';
import type { Table } from './output/Table.js';

/** What a command prints: `data` with `--json`, otherwise the table or text. */
export interface CliOutput {
  data: unknown;
  view: Table | string | Buffer;
  /** How the command ended; `ok` if absent. */
  exit?: ExitReason;
}
