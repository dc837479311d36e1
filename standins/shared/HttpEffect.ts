import type { TimerEffect } from './TimerEffect.js';

/** Effects of the stand-ins that serve JSON over HTTP; `afterMs` delays an effect. */
export type HttpEffect =
  | TimerEffect
  | { type: 'answer'; requestId: string; status: number; body: unknown; afterMs?: number }
  /** Closes the caller's connection without an answer. */
  | { type: 'destroyConnection'; requestId: string; afterMs?: number };
