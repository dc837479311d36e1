import type { TickEvent } from '../shared/TickEvent.js';

interface Call {
  requestId: string;
  token: number;
}

/** Events of the worker; `expiresAt` is a time on its own clock. */
export type TaskWorkerEvent =
  | TickEvent
  | (Call & { type: 'startRequested'; task: string; run: number; spec: string; expiresAt: number })
  | (Call & { type: 'stopRequested'; task: string; run: number })
  | (Call & {
      type: 'holdRequested';
      expiresAt: number | null;
      lastSeen: number;
      waitMs: number;
    })
  | { type: 'journalRequested'; requestId: string }
  | { type: 'faultsRequested'; requestId: string; failing: boolean };
