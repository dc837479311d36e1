/** The batch is held by two recorders on different VMs, or the log has acknowledged it. */
export interface UsageStoredMessage {
  type: 'usageStored';
  batchId: string;
}
