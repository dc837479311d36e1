import type { LoopStall } from './LoopStall.js';

/** How busy the machine was over a second; its stall is that of the harness, which took the sample late. */
export interface LoadSample extends LoopStall {
  /** Share of the processors' time that was in use, by any process. */
  busyShare: number;
  /** Processes that ran or waited for a processor, averaged by the kernel over a minute. */
  loadAverage: number;
}
