import type { LogRecord } from '../log/LogRecord.js';
import type { JobScan } from './JobScan.js';
import { jobRecordSchema } from './jobRecordSchema.js';

/** Adds the records of one page to a scan. An end record counts at any position in the stream. */
export const addScanPage = (scan: JobScan, records: LogRecord[]): void => {
  records.forEach(({ data }) => {
    const parsed = jobRecordSchema.safeParse(data);
    if (!parsed.success) return;
    const record = parsed.data;
    if (record.kind === 'jobEnded') {
      scan.endedJobIds.add(record.jobId);
      scan.openJobs.delete(record.jobId);
    } else if (record.job.zone === scan.zone && !scan.endedJobIds.has(record.job.id)) {
      const { id, workspace, zone, spec, submittedWall } = record.job;
      scan.openJobs.set(id, { id, workspace, zone, spec, submittedWall });
    }
  });
};
