/** Acknowledges `replicate` messages up to a sequence number. */
export interface ReplicateAckMessage {
  type: 'replicateAck';
  sequence: number;
}
