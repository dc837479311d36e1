/** What a worker reports to the registry, as the harness does it for the stand-in. */
export interface WorkerRegistration {
  state: 'ready' | 'draining';
  /** Monotonic time at which it leaves, while it is draining; null otherwise. */
  leavesAt: number | null;
  /** Whether it sends heartbeats: it runs and reaches the store. */
  sendsHeartbeats: boolean;
  /** Monotonic time of its last heartbeat that the store accepted. */
  acceptedAt: number;
}
