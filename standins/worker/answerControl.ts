import type { BackendEffect } from './BackendEffect.js';
import type { BackendState } from './BackendState.js';

/** Answers a control call, later if a fault delays it. */
export const answerControl = (
  state: BackendState,
  requestId: string,
  body: unknown,
): BackendEffect => ({
  type: 'answer',
  requestId,
  status: 200,
  body,
  afterMs: state.faults.controlDelayMs,
});
