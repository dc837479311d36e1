import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { postponeRead } from '../log/postponeRead.js';
import type { State } from '../State.js';
import { findScan } from './findScan.js';

/** Schedules the repetition of a failed read of a scan. */
export const handleScanReadFailed = (state: State, event: EventOf<'logReadFailed'>): Effect[] => {
  const scan = findScan(state.recovery, event.readId);
  return scan ? postponeRead(state, scan, event) : [];
};
