/** A queue of jobs, selected by the host and path of a request. */
export interface Queue {
  name: string;
  host: string;
  /** Path prefix; the longest match wins. */
  pathPrefix: string;
  /** Service whose workers run the jobs. */
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Failed runs of a task after which its job fails. */
  maxAttempts: number;
  /** Factor of the critical path that the latency objective allows. */
  stretch: number;
  /** Fixed part of the latency objective. */
  targetLatencyMs: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
}
