/**
 * Promise to users, or invariant that supports one, that a profile tests. The promises are numbered
 * P1 to P9 in the comments and checks.
 */
export type PromiseName =
  /** P3: each caller gets at most one answer, its own. */
  | 'answer'
  /** P4: a request that is refused as not run never runs. */
  | 'refusal'
  /** P5: a non-idempotent request, or a key within its retention, runs at most once. */
  | 'once'
  /** P6: no request starts on a worker later than a bound after it began to leave. */
  | 'leaving'
  /** P7: a graceful shutdown waits for open requests. */
  | 'shutdown'
  /** P1: a job of the guaranteed shape starts within a bound. */
  | 'guarantee'
  /** P8: every VM reaches the settings that the log contains. */
  | 'settings'
  /** P9: the log accounts for every task that ran. */
  | 'record'
  /** P2: no part of a gang runs without the others for longer than a bound. */
  | 'gang'
  /** Invariant: a worker has at most one holder, and a zone at most one lead. */
  | 'holder'
  /** Invariant: after all faults have ended, every caller has an answer, a refusal or a reset. */
  | 'settle';
