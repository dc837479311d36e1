import type { Clock } from './Clock.js';
import type { FakeTask } from './FakeTask.js';

/** Fake backend server that accepts every request and task. */
export interface FakeWorker {
  id: string;
  zone: string;
  clock: Clock;
  incarnation: number;
  startedAt: number;
  downUntil: number;
  leftAt: number | null;
  renewal: { holder: string; at: number; released: boolean } | null;
  failureMode: 'none' | 'status' | 'reset';
  failingUntil: number;
  slowUntil: number;
  activeAttempts: Set<string>;
  tasks: Map<string, FakeTask>;
}
