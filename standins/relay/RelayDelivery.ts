/** Data or an event from one side that has not been delivered to the other yet. */
export type RelayDelivery = { dueAt: number } & (
  { kind: 'data'; data: Buffer } | { kind: 'end' } | { kind: 'reset' }
);
