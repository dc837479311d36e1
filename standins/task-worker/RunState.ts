/** One run at the worker, as its journal tells it; times are monotonic and shared by all processes. */
export interface RunState {
  task: string;
  run: number;
  startedAt: number;
  /** When it is done, if nothing ends it before. */
  dueAt: number;
  endedAt: number | null;
  kind: 'done' | 'failed' | 'stopped' | 'lapsed' | null;
  /** Accelerators that it takes. */
  gpu: number;
  /** Number among the worker's ends, or 0. */
  number: number;
  /** Its end was acknowledged. */
  noted: boolean;
  /** The lease lapsed between the end and its acknowledgement, so that it may run again. */
  lapsedSince: boolean;
}
