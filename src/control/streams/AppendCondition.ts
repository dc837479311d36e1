/** Condition under which the store carries out an append. */
export type AppendCondition =
  | { type: 'none' }
  /** The stream ends at this offset. */
  | { type: 'endsAt'; offset: number }
  /** No append had a higher token, and the sequence number follows the token's last one. */
  | { type: 'fenced'; token: number; sequence: number };
