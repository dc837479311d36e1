import type { Effect } from '../Effect.js';
import { splitByBytes } from '../replication/splitByBytes.js';
import type { JobScan } from './JobScan.js';

/** Sends the open jobs of a finished scan. */
export const sendOpenJobs = (scan: JobScan): Effect[] => {
  const chunks = splitByBytes([...scan.openJobs.values()]);
  return chunks.map((jobs, index) => ({
    type: 'send',
    to: scan.requester,
    message: {
      type: 'jobsRecovered',
      queryId: scan.queryId,
      jobs,
      complete: index === chunks.length - 1,
    },
  }));
};
