/** A short request and the response that its caller received. */
export interface SentRequest {
  method: string;
  path: string;
  /** Idempotency key, or null. */
  key: string | null;
  /** HTTP port of the gateway. */
  port: number;
  /** Time of sending in epoch milliseconds. */
  sentWall: number;
  /** Null if the connection was lost before the whole response arrived. */
  status: number | null;
  /** Outcome in the problem details, or null if the request was not refused. */
  outcome: 'not-run' | 'unknown' | null;
  /** Code in the problem details, or null if the request was not refused. */
  code: string | null;
  /** Path that the worker reports in its response, or null. */
  servedPath: string | null;
  durationMs: number;
}
