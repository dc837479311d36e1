import { computeKnownIntervals } from './computeKnownIntervals.js';
import type { InvoiceLine } from './InvoiceLine.js';
import type { InvoiceTask } from './InvoiceTask.js';

/**
 * Builds the invoice lines of one task: its known run times in the period, then its corrections.
 */
export const buildInvoiceLines = (
  task: InvoiceTask,
  fromWall: number,
  toWall: number,
): InvoiceLine[] => {
  const { taskId, accelerators, startedWall, endedWall, unknownIntervals, corrections } = task;
  const knownIntervals =
    startedWall === null
      ? null
      : computeKnownIntervals({ startedWall, endedWall, unknownIntervals });
  const runLines = (knownIntervals ?? [])
    .map((interval) => ({
      fromWall: Math.max(interval.fromWall, fromWall),
      toWall: Math.min(interval.toWall, toWall),
    }))
    .filter((interval) => interval.fromWall < interval.toWall)
    .map((interval) => {
      const acceleratorMs = (interval.toWall - interval.fromWall) * accelerators;
      return { kind: 'run' as const, taskId, accelerators, ...interval, acceleratorMs };
    });
  const correctionLines = corrections
    .filter(({ wall }) => wall >= fromWall && wall < toWall)
    .map(({ kind, id, accelerators: count, deltaMs, wall }) => {
      const acceleratorMs = deltaMs * count;
      return { kind, id, taskId, accelerators: count, deltaMs, wall, acceleratorMs };
    });
  return [...runLines, ...correctionLines];
};
