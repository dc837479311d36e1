/** The last heartbeat of a worker in the registry. */
export interface EntryHeartbeat {
  /** Entry without its sequence number, as it was last written. */
  value: Buffer;
  /** Monotonic time of the heartbeat. */
  receivedAt: number;
}
