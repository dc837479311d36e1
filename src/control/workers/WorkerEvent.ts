import type { WorkerAnswer } from './WorkerAnswer.js';
import type { WorkerCall } from './WorkerCall.js';

/** A worker's answer to a call. */
export interface WorkerEvent {
  type: 'workerAnswered';
  workerId: string;
  token: number;
  call: WorkerCall;
  /** Monotonic milliseconds when the call was sent. */
  sentAt: number;
  answer: WorkerAnswer;
}
