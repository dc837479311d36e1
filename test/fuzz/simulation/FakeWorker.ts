import type { Clock } from './Clock.js';
import type { FakeTask } from './FakeTask.js';

/** Fake backend server that accepts every request and task; times are simulation times. */
export interface FakeWorker {
  id: string;
  zone: string;
  clock: Clock;
  /** Number of the current process, from 1. */
  incarnation: number;
  startedAt: number;
  /** Time at which the next process starts; in the past while one runs. */
  downUntil: number;
  /** Time at which the worker began to leave; null before. */
  leftAt: number | null;
  /** Newest claim or renewal; null if the current process got none. */
  renewal: { holder: string; at: number; released: boolean } | null;
  /** How requests fail until `failingUntil`; started tasks fail in both modes. */
  failureMode: 'none' | 'status' | 'reset';
  failingUntil: number;
  slowUntil: number;
  activeAttempts: Set<string>;
  tasks: Map<string, FakeTask>;
}
