import type { Invoice } from './Invoice.js';
import type { InvoiceTask } from './InvoiceTask.js';

/** Lists the intervals of unknown usage that overlap the period, limited to it. */
export const listUnknownIntervals = (
  tasks: InvoiceTask[],
  fromWall: number,
  toWall: number,
): Invoice['unknown'] =>
  tasks
    .flatMap(({ unknownIntervals, corrections }) =>
      unknownIntervals.map((record) => ({
        id: record.id,
        jobId: record.jobId,
        taskId: record.taskId,
        accelerators: record.accelerators,
        fromWall: Math.max(record.fromWall, fromWall),
        toWall: Math.min(record.toWall, toWall),
        settledBy: corrections[0]?.id ?? null,
      })),
    )
    .filter((interval) => interval.fromWall < interval.toWall);
