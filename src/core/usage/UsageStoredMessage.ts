/** A recorder holds the batch and so does one other VM, or the log has acknowledged it. */
export interface UsageStoredMessage {
  type: 'usageStored';
  batchId: string;
}
