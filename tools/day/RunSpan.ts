/** One run as the lines tell it; times are epoch milliseconds. */
export interface RunSpan {
  requestId: string;
  from: number;
  /** Its end, or Infinity if no line tells of it. */
  until: number;
  gpu: number;
  /** Why it was lost, or null if it was not. */
  lossCause: string | null;
}
