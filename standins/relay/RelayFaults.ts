import type { RelaySide } from './RelaySide.js';

/** Faults that a test can switch on. */
export interface RelayFaults {
  /** Lets nothing through. */
  cut: boolean;
  /** Whether a cut keeps connections open without data, or resets them. */
  cutMode: 'freeze' | 'reset';
  /** Whose data is cut off: what both send, or only what one side sends. */
  cutSide: 'both' | RelaySide;
  /** Delay in each direction. */
  delayMs: number;
}
