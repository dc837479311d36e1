/** A queue of jobs, chosen by host and path. */
export interface Queue {
  name: string;
  host: string;
  /** Path prefix; the longest match wins. */
  pathPrefix: string;
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  maxAttempts: number;
  /** Allowed completion time as a multiple of the longest chain of work. */
  stretch: number;
  targetLatencyMs: number;
  /** Needs no key. */
  isPublic: boolean;
}
