import type { WorkerAnswer } from './WorkerAnswer.js';
import type { WorkerCall } from './WorkerCall.js';

/** The answer of a worker to a call. */
export interface WorkerEvent {
  type: 'workerAnswered';
  workerId: string;
  /** Fencing token of the call. */
  token: number;
  call: WorkerCall;
  /** Monotonic time at which the call was sent. */
  sentAt: number;
  answer: WorkerAnswer;
}
