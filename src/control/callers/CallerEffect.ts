import type { CallerAnswer } from './CallerAnswer.js';

/** An answer to a caller, or a change of the state of the front end that serves callers. */
export type CallerEffect =
  | { type: 'answerCaller'; requestId: number; answer: CallerAnswer }
  | { type: 'setReady'; ready: boolean }
  /** Makes the front end close each connection after the next answer on it. */
  | { type: 'drainConnections' };
