/** One run in the worker's journal; times are monotonic and comparable between processes. */
export interface RunState {
  task: string;
  run: number;
  startedAt: number;
  /** Time at which it completes, unless it ends before. */
  dueAt: number;
  endedAt: number | null;
  kind: 'done' | 'failed' | 'stopped' | 'lapsed' | null;
  /** Accelerators that it uses. */
  gpu: number;
  /** Sequence number of its end on the worker, or 0. */
  number: number;
  /** Whether its end was acknowledged. */
  noted: boolean;
  /** Whether the lease lapsed between the end and its acknowledgement; the task may then run again. */
  lapsedSince: boolean;
}
