import type { TimerEffect } from './TimerEffect.js';

/** Effects of the stand-ins that speak JSON over HTTP. */
export type HttpEffect =
  | TimerEffect
  | { type: 'answer'; requestId: string; status: number; body: unknown; afterMs?: number }
  /** Breaks the caller's connection without an answer. */
  | { type: 'destroyConnection'; requestId: string; afterMs?: number };
