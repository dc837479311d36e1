/** Another VM's recorder holds a copy of the batch. */
export interface UsageReplicaAckMessage {
  type: 'usageReplicaAck';
  batchId: string;
}
