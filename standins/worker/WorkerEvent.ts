import type { WorkerCall } from '../../src/core/ownership/WorkerCall.js';
import type { TickEvent } from '../shared/TickEvent.js';
import type { ShortRequest } from './ShortRequest.js';
import type { WorkerFaults } from './WorkerFaults.js';

type PrepareCall = Omit<Extract<WorkerCall, { kind: 'prepareTask' }>, 'kind'>;

/** Events of a backend server. */
export type WorkerEvent =
  | TickEvent
  | { type: 'leaseRead'; requestId: string }
  | {
      type: 'leaseRenewed';
      requestId: string;
      holder: string;
      taskLeaseMs: number;
      renewTasks: string[];
    }
  | { type: 'leaseReleased'; requestId: string; holder: string }
  | { type: 'prepareRequested'; requestId: string; task: PrepareCall }
  | {
      type: 'startRequested' | 'stopRequested' | 'checkpointRequested';
      requestId: string;
      taskId: string;
    }
  | { type: 'throttleRequested'; requestId: string; taskId: string; share: number }
  | { type: 'usageRead'; requestId: string; after: number }
  | { type: 'journalRead'; requestId: string; after: number }
  | {
      type: 'shortRequested';
      requestId: string;
      request: Omit<ShortRequest, 'phase' | 'callerGone'>;
    }
  /** The connection of a short request closed, or its answer has been sent. */
  | { type: 'shortClosed'; requestId: string; complete: boolean }
  /** The server refused a connection beyond its limit. */
  | { type: 'connectionDropped' }
  | {
      type: 'faultsRequested';
      requestId: string;
      faults: Partial<WorkerFaults>;
      /** How long connections are refused from now on; 0 for not at all. */
      refuseConnectionsMs: number;
    };
