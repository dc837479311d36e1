import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { postponeRead } from '../log/postponeRead.js';
import type { State } from '../State.js';
import { findReport } from './findReport.js';

/** Schedules the repetition of a failed read of a report. */
export const handleReportReadFailed = (state: State, event: EventOf<'logReadFailed'>): Effect[] => {
  const report = findReport(state.usage, event.readId);
  return report ? postponeRead(state, report, event) : [];
};
