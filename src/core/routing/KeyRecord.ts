/** State of an idempotency key, kept by the lead and copied to the zone's other schedulers. */
export interface KeyRecord {
  /** Id from `buildKeyId`. */
  id: string;
  /** Request that claimed the key. */
  requestId: string;
  /** `running`: claimed; `finished`: the worker answered; `unknown`: the request may have run. */
  state: 'running' | 'finished' | 'unknown';
  /** Monotonic time on this VM after which the record is deleted. */
  forgetAt: number;
}
