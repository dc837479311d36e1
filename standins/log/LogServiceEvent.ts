import type { TickEvent } from '../shared/TickEvent.js';
import type { LogFaults } from './LogFaults.js';

/** Events of the log service. */
export type LogServiceEvent =
  | TickEvent
  | { type: 'appendRequested'; requestId: string; stream: string; records: unknown[] }
  | {
      type: 'readRequested';
      requestId: string;
      stream: string;
      from: number;
      limit: number;
      waitMs: number;
    }
  | { type: 'faultsRequested'; requestId: string; faults: Partial<LogFaults> };
