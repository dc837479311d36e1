/** One line of a daemon's log, with the fields that the report needs. */
export interface LogLine {
  /** Epoch milliseconds. */
  at: number;
  code: string;
  fields: Record<string, unknown>;
}
