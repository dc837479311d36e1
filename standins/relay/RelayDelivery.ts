/** What one side sent and the other has not received yet. */
export type RelayDelivery = { dueAt: number } & (
  { kind: 'data'; data: Buffer } | { kind: 'end' } | { kind: 'reset' }
);
