import type { RelaySide } from './RelaySide.js';

/** Faults that a test can enable. */
export interface RelayFaults {
  /** Whether the relay is cut: it forwards nothing from the sides that `cutSide` names. */
  cut: boolean;
  /** Whether a cut keeps connections open and holds their data back, or resets them. */
  cutMode: 'freeze' | 'reset';
  /** The side whose data is held back, or both. */
  cutSide: 'both' | RelaySide;
  /** Delay in each direction, in milliseconds. */
  delayMs: number;
}
