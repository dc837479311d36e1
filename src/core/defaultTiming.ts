import type { Timing } from './Timing.js';

/** Default durations; docs/design.md gives the reason for each. */
export const defaultTiming: Timing = {
  holderLeaseMs: 3000,
  claimMarginMs: 500,
  rankDelayMs: 1500,
  renewEveryMs: 1000,
  workerCallTimeoutMs: 1500,
  taskLeaseMs: 6000,
  gangSilenceMs: 3000,
  gangStartMs: 3000,
  checkpointMs: 4000,
  heartbeatEveryMs: 500,
  remoteHeartbeatEveryMs: 2000,
  peerSilenceMs: 2500,
  grantStartMs: 2000,
  keyRetentionMs: 300_000,
  aloneAfterMs: 10_000,
  balancerDrainMs: 5000,
  shutdownMs: 30_000,
  retryWindowMs: 10_000,
  commandTimeoutMs: 10_000,
  usageBatchMs: 500,
  usageCountMs: 5000,
  usageResendMs: 2000,
  logRetryMs: 500,
  logRetentionMs: 86_400_000,
};
