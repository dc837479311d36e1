import type { TickEvent } from '../shared/TickEvent.js';

interface Call {
  requestId: string;
  /** Fencing token of the caller. */
  token: number;
}

/** Events of the worker; `expiresAt` is a time on its own clock. */
export type TaskWorkerEvent =
  | TickEvent
  | (Call & { type: 'startRequested'; task: string; run: number; spec: string; expiresAt: number })
  | (Call & { type: 'stopRequested'; task: string; run: number })
  | (Call & {
      type: 'holdRequested';
      /** Null does not renew the lease. */
      expiresAt: number | null;
      /** Acknowledges the ends up to this sequence number. */
      lastSeen: number;
      /** How long the answer may be held until a run ends. */
      waitMs: number;
    })
  | { type: 'journalRequested'; requestId: string }
  | { type: 'faultsRequested'; requestId: string; failing: boolean };
