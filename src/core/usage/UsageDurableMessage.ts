/** The log has acknowledged the batch; the receiver may delete its copy. */
export interface UsageDurableMessage {
  type: 'usageDurable';
  batchId: string;
}
