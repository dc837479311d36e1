import { assignStarts } from './assignStarts.js';
import type { PendingAppend } from './PendingAppend.js';

/** Divides an append with several units into two, of which the second acknowledges the ends. */
export const splitAppend = (append: PendingAppend): PendingAppend[] => {
  const middle = Math.ceil(append.units.length / 2);
  const first = { ...append, units: append.units.slice(0, middle), startsToSend: [] };
  const second = { ...append, units: append.units.slice(middle), startsToSend: [] };
  assignStarts([first, second], append.startsToSend);
  return [{ ...first, endsToAcknowledge: [] }, second];
};
