import type { RelayFaults } from './RelayFaults.js';
import type { RelaySide } from './RelaySide.js';

/** Whether data from this side is held back. */
export const isCutOff = ({ cut, cutSide }: RelayFaults, side: RelaySide): boolean =>
  cut && (cutSide === 'both' || cutSide === side);
