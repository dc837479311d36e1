/** One run in the worker's journal; times are monotonic and comparable between processes. */
export interface RunState {
  task: string;
  run: number;
  /** Fencing token of the call that started it. */
  token: number;
  startedAt: number;
  /** Time at which it completes, unless it ends before. */
  dueAt: number;
  /** Time of its end, or null while it is in progress. */
  endedAt: number | null;
  /** How it ended; `lapsed` if its lease expired, null while it is in progress. */
  kind: 'done' | 'failed' | 'stopped' | 'lapsed' | null;
  /** Accelerators that it uses. */
  gpu: number;
  /** Sequence number of its end among those on the worker, or 0 while it is in progress. */
  number: number;
  /** Whether its end was acknowledged. */
  noted: boolean;
  /** Whether the lease lapsed between the end and its acknowledgement; the task may then run again. */
  lapsedSince: boolean;
}
