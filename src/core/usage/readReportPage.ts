import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { UsageReport } from './UsageReport.js';

const maxPageRecords = 1000;

/** Reads the next page of the `usage` stream for a report. */
export const readReportPage = (state: State, report: UsageReport): Effect[] => {
  const { usage, self } = state;
  report.readId = `usage/${self.incarnation}/${usage.nextReadNumber}`;
  usage.nextReadNumber += 1;
  return [
    {
      type: 'readLog',
      readId: report.readId,
      stream: 'usage',
      fromOffset: report.nextOffset,
      limit: maxPageRecords,
      waitMs: 0,
    },
  ];
};
