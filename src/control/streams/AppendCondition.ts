/** Condition under which the store appends. */
export type AppendCondition =
  | { type: 'none' }
  /** The stream ends at this offset. */
  | { type: 'endsAt'; offset: number }
  /** No higher token has appended, and the sequence number follows the last one. */
  | { type: 'fenced'; token: number; sequence: number };
