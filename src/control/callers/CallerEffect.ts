import type { CallerAnswer } from './CallerAnswer.js';

/** Answers to callers and the state of the front. */
export type CallerEffect =
  | { type: 'answerCaller'; requestId: number; answer: CallerAnswer }
  | { type: 'setReady'; ready: boolean }
  /** From now on answers close their connections. */
  | { type: 'drainFront' };
