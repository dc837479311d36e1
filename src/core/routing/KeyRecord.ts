/** State of an idempotency key, kept by the lead and copied to the zone's other schedulers. */
export interface KeyRecord {
  /** Workspace and key, joined. */
  id: string;
  /** Request that claimed the key. */
  requestId: string;
  state: 'running' | 'finished' | 'unknown';
  /** Monotonic time on this VM after which the record is deleted. */
  forgetAt: number;
}
