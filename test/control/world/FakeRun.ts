/** One run at a fake worker, as the worker itself knows it. */
export interface FakeRun {
  task: string;
  run: number;
  workerId: string;
  startedAt: number;
  /** When it will be done, if nothing ends it before. */
  dueAt: number;
  endedAt: number | null;
  /** It was told to stop, and ends so at `dueAt`. */
  stopping: boolean;
  kind: 'done' | 'failed' | 'stopped' | 'lapsed' | 'gone' | null;
  /** Checkpoint that it started from, or empty. */
  checkpoint: string;
  /** It saves its progress at intervals and at its end. */
  saves: boolean;
  endCheckpoint: string;
  /** A lead has acknowledged its end. */
  noted: boolean;
  /** The worker's lease lapsed between the end and its acknowledgement, which is allowed to count. */
  lapsedSince: boolean;
}
