import { formatCell } from '../output/formatCell.js';
import { formatTable } from '../output/formatTable.js';
import { describeUsageGaps } from './describeUsageGaps.js';
import { formatHours } from './formatHours.js';
import type { ApiInvoice } from './ApiInvoice.js';

/** Formats the usage of a workspace by job. */
export const formatUsage = (invoice: ApiInvoice): string => {
  const { answered, failed, unknown, busyMs } = invoice.requests;
  const rows = invoice.jobs.map((job) => [formatCell(job.jobId), formatHours(job.acceleratorMs)]);
  return [
    formatTable({
      columns: ['job', 'accelerator hours'],
      rows: [...rows, ['(all)', formatHours(invoice.acceleratorMs)]],
    }),
    `Short requests: ${answered} answered, ${failed} failed, ${unknown} unknown; busy ${formatHours(busyMs)} h.`,
    ...describeUsageGaps(invoice),
  ].join('\n\n');
};
