/** One short request and what its caller saw. */
export interface SentRequest {
  method: string;
  path: string;
  key: string | null;
  port: number;
  sentWall: number;
  /** Null when the connection broke before a whole answer had arrived. */
  status: number | null;
  /** From the refusal, if it is one. */
  outcome: 'not-run' | 'unknown' | null;
  code: string | null;
  /** Path that the worker says it served, or null. */
  servedPath: string | null;
  durationMs: number;
}
