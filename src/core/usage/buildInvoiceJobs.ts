import { buildInvoiceLines } from './buildInvoiceLines.js';
import type { Invoice } from './Invoice.js';
import type { InvoiceTask } from './InvoiceTask.js';

/** Builds the jobs of an invoice; jobs without a line in the period are omitted. */
export const buildInvoiceJobs = (
  tasks: InvoiceTask[],
  fromWall: number,
  toWall: number,
): Invoice['jobs'] => {
  const jobs = new Map<string, Invoice['jobs'][number]>();
  tasks.forEach((task) => {
    const lines = buildInvoiceLines(task, fromWall, toWall);
    if (lines.length === 0) return;
    const job = jobs.get(task.jobId) ?? { jobId: task.jobId, acceleratorMs: 0, lines: [] };
    jobs.set(task.jobId, job);
    job.lines.push(...lines);
    job.acceleratorMs += lines.reduce((sum, { acceleratorMs }) => sum + acceleratorMs, 0);
  });
  return [...jobs.values()];
};
