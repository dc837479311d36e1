/** One fake worker; it serves `slots` requests at a time. */
export interface WorkerSpec {
  id: string;
  slots: number;
  /** Factor on the service time of every request. */
  slowness: number;
  /** Every attempt that starts from this time on fails after 2 ms; null for a healthy worker. */
  failsFrom: number | null;
}
