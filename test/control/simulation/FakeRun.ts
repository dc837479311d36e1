import type { FakeGang } from './FakeGang.js';

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
  kind: 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'gone' | null;
  /** The members that it works with, or null. */
  gang: FakeGang | null;
  /** When its work began: for a gang, when all members were there. */
  workStartedAt: number | null;
  /** Work that it has left at its start, at the speed of its worker. */
  remainingWorkMs: number;
  /** Checkpoint that it started from, or empty. */
  checkpoint: string;
  /** It saves its progress at intervals and at its end. */
  savesCheckpoints: boolean;
  finalCheckpoint: string;
  /** A lead has acknowledged its end. */
  noted: boolean;
  /** The worker's lease lapsed between the end and its acknowledgement, which is allowed to count. */
  lapsedSince: boolean;
}
