/** One run according to the logs; times are epoch milliseconds. */
export interface RunSpan {
  requestId: string;
  from: number;
  /** Its end, or Infinity if that was not logged. */
  until: number;
  gpu: number;
  /** Cause of its loss, or null if it was not lost. */
  lossCause: string | null;
}
