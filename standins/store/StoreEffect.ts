import type { HttpEffect } from '../shared/HttpEffect.js';

/** Effects of the store. */
export type StoreEffect =
  HttpEffect | { type: 'answerBytes'; requestId: string; body: Buffer; afterMs: number };
