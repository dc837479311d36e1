import type { WorkerEffect } from './WorkerEffect.js';
import type { WorkerState } from './WorkerState.js';

/** Answers a control call, with a delay if that fault is set. */
export const answerControl = (
  state: WorkerState,
  requestId: string,
  body: unknown,
): WorkerEffect => ({
  type: 'answer',
  requestId,
  status: 200,
  body,
  afterMs: state.faults.controlDelayMs,
});
