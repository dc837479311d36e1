import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { JobScan } from './JobScan.js';

const maxPageRecords = 1000;

/** Reads the next page of the `jobs` stream. */
export const readScanPage = (state: State, scan: JobScan): Effect[] => {
  scan.readId = `jobs/${state.self.incarnation}/${state.recovery.nextReadNumber}`;
  state.recovery.nextReadNumber += 1;
  return [
    {
      type: 'readLog',
      readId: scan.readId,
      stream: 'jobs',
      fromOffset: scan.nextOffset,
      limit: maxPageRecords,
      waitMs: 0,
    },
  ];
};
