/** Settings of a queue that decide how its jobs are scheduled. */
export interface QueueSettings {
  /** 0 is the most urgent. */
  priority: number;
  /** Failed runs of a task or gang after which its job fails. */
  maxAttempts: number;
  /** Factor of the critical path that the latency objective allows. */
  stretch: number;
  /** Fixed part of the latency objective. */
  targetLatencyMs: number;
}
