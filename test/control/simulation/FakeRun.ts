import type { FakeGang } from './FakeGang.js';

/** One run on a fake worker, as the worker sees it. */
export interface FakeRun {
  task: string;
  run: number;
  workerId: string;
  startedAt: number;
  /** Time at which it completes, unless it ends before. */
  dueAt: number;
  endedAt: number | null;
  /** A stop was requested; it ends as stopped at `dueAt`. */
  stopping: boolean;
  kind: 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'gone' | null;
  /** Its gang, or null. */
  gang: FakeGang | null;
  /** Time at which its work began: for a gang, once all members had started. */
  workStartedAt: number | null;
  /** Run time that was left at its start, at the speed of its worker. */
  remainingWorkMs: number;
  /** Checkpoint that it resumed from, or empty. */
  checkpoint: string;
  /** Whether it saves checkpoints at intervals and at its end. */
  savesCheckpoints: boolean;
  finalCheckpoint: string;
  /** Whether a leader has acknowledged its end. */
  noted: boolean;
  /** Whether the lease lapsed between the end and its acknowledgement; the task may then run again. */
  lapsedSince: boolean;
}
