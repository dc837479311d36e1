/** Durations that decisions depend on, in milliseconds. */
export interface Timing {
  /** A scheduler may act on a worker this long after it sent a renewal that was acknowledged. */
  holderLeaseMs: number;
  /** Extra silence before another scheduler claims a worker; covers drift of clock rates. */
  claimMarginMs: number;
  /** Extra delay per rank, so that one scheduler of a zone usually claims all its workers. */
  rankDelayMs: number;
  renewEveryMs: number;
  workerCallTimeoutMs: number;
  /** A task on a worker stops by itself this long after its last renewal. */
  taskLeaseMs: number;
  /** A gang is stopped when one of its workers has not answered for this long. */
  gangSilenceMs: number;
  /** A gang start is given up when a part has not answered for this long. */
  gangStartMs: number;
  checkpointMs: number;
  heartbeatEveryMs: number;
  /** Heartbeats to other zones are rarer, so that their number stays small with many zones. */
  remoteHeartbeatEveryMs: number;
  peerSilenceMs: number;
  /** A grant that was not used within this time is dropped by the gateway. */
  grantStartMs: number;
  keyRetentionMs: number;
  /** A lead without acknowledgement from a zone peer goes on alone after this time. */
  aloneAfterMs: number;
  balancerDrainMs: number;
  shutdownMs: number;
  retryWindowMs: number;
  commandTimeoutMs: number;
  usageBatchMs: number;
  /** Length of the intervals in which short requests are counted for the usage record. */
  usageCountMs: number;
  /** Records not reported stored, or not acknowledged by the replica, are sent again after this. */
  usageResendMs: number;
  /** Pause before a failed read or append of the log is repeated; doubles up to ten times this. */
  logRetryMs: number;
  /** How long the log keeps records; the settings tree is appended again at a third of it. */
  logRetentionMs: number;
}
