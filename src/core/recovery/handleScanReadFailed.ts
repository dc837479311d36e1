import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { postponeRead } from '../log/postponeRead.js';
import type { State } from '../State.js';
import { findScan } from './findScan.js';

/** Repeats a failed page of a scan after a pause. */
export const handleScanReadFailed = (state: State, event: EventOf<'logReadFailed'>): Effect[] => {
  const scan = findScan(state.recovery, event.readId);
  return scan ? postponeRead(state, scan, event) : [];
};
