/** How busy the machine was over a second. */
export interface LoadSample {
  time: string;
  /** Share of the processors' time that was in use, by any process. */
  busyShare: number;
  /** Processes that ran or waited for a processor, averaged by the kernel over a minute. */
  loadAverage: number;
  /** How late this sample was taken: the harness itself stood still. */
  lagMs: number;
}
