import type { HttpEffect } from '../shared/HttpEffect.js';
import type { RelaySide } from './RelaySide.js';

/** Effects of the relay. */
export type RelayEffect =
  | HttpEffect
  | { type: 'openTarget'; connectionId: string }
  | { type: 'setReading'; connectionId: string; side: RelaySide; reading: boolean }
  | { type: 'writeData'; connectionId: string; side: RelaySide; data: Buffer }
  | { type: 'endSide' | 'resetSide'; connectionId: string; side: RelaySide };
