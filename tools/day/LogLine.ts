/** One line of a daemon's log. */
export interface LogLine {
  /** Epoch milliseconds. */
  at: number;
  code: string;
  fields: Record<string, unknown>;
}
