import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { findReport } from './findReport.js';

/** Repeats a failed page of a report after a pause. */
export const handleReportReadFailed = (state: State, event: EventOf<'logReadFailed'>): Effect[] => {
  const report = findReport(state.usage, event.readId);
  if (!report) return [];
  report.readId = null;
  report.nextReadAt = event.at + state.timing.logRetryMs;
  return [{ type: 'countRetry', reason: 'read-failed' }];
};
