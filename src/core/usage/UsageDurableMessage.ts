/** The log acknowledged the batch; the replica may drop it. */
export interface UsageDurableMessage {
  type: 'usageDurable';
  batchId: string;
}
