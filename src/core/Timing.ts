/** Durations that decisions depend on, in milliseconds. */
export interface Timing {
  /** A scheduler may act on a worker this long after it sent a renewal that was acknowledged. */
  holderLeaseMs: number;
  /** Extra silence before another scheduler claims a worker; covers drift of clock rates. */
  claimMarginMs: number;
  /** Extra delay per rank, so that one scheduler of a zone usually claims all its workers. */
  rankDelayMs: number;
  /** Interval of lease renewals and of repeated task calls, per worker. */
  renewEveryMs: number;
  workerCallTimeoutMs: number;
  /** A task on a worker stops by itself this long after its last renewal. */
  taskLeaseMs: number;
  /** A gang is stopped when one of its workers has not answered for this long. */
  gangSilenceMs: number;
  /** A gang start is aborted when a part has not answered for this long. */
  gangStartMs: number;
  /** Time allowed for a checkpoint before a preempted gang is stopped without it. */
  checkpointMs: number;
  /** Interval of heartbeats, and of copies from the lead, within a zone. */
  heartbeatEveryMs: number;
  /** Interval of heartbeats to other zones; longer, to limit their number with many zones. */
  remoteHeartbeatEveryMs: number;
  /** A scheduler whose last heartbeat arrived this long ago is treated as dead. */
  peerSilenceMs: number;
  /** A gateway drops a grant that it has not used within this time. */
  grantStartMs: number;
  /** An idempotency key is remembered for this long after its latest use. */
  keyRetentionMs: number;
  /** A lead no longer waits for a peer of its zone that was unreachable for this long. */
  aloneAfterMs: number;
  /** A stopping gateway still accepts requests for this long, while load balancers remove it. */
  balancerDrainMs: number;
  /** Time allowed for open work to finish at shutdown. */
  shutdownMs: number;
  /** Length of the window over which the retry budget is counted. */
  retryWindowMs: number;
  commandTimeoutMs: number;
  /** Shortest interval between two batches of usage records. */
  usageBatchMs: number;
  /** Length of the intervals in which short requests are counted for the usage record. */
  usageCountMs: number;
  /**
   * Usage records that are not reported stored, or not acknowledged by the replica, are sent again
   * after this time.
   */
  usageResendMs: number;
  /** Pause before a failed log read or append is retried; for appends it doubles, to 10 × this. */
  logRetryMs: number;
  /** How long the log keeps records; the settings tree is appended again after a third of it. */
  logRetentionMs: number;
}
