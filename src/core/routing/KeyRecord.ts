/** What the lead remembers of an idempotency key. */
export interface KeyRecord {
  /** Workspace and key, joined. */
  id: string;
  requestId: string;
  state: 'running' | 'finished' | 'unknown';
  /** Monotonic time, on the VM that holds this copy, after which the key is forgotten. */
  forgetAt: number;
}
