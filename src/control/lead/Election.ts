/** State of this VM's attempt to become the leader. */
export interface Election {
  /** `reading`: the newest claim is being read; `claiming`: this VM's claim is being appended. */
  phase: 'idle' | 'reading' | 'claiming';
  /** ID of the pending call to the store, or 0. */
  pendingCallId: number;
  /** Monotonic time before which no new attempt starts. */
  backoffUntil: number;
  /** Fencing token of the last term that this process led, or 0. */
  lastOwnToken: number;
}
