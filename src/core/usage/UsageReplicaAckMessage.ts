/** The other VM's recorder holds the batch. */
export interface UsageReplicaAckMessage {
  type: 'usageReplicaAck';
  batchId: string;
}
