import { computeKnownIntervals } from './computeKnownIntervals.js';
import type { InvoiceLine } from './InvoiceLine.js';
import type { InvoiceTask } from './InvoiceTask.js';

/** Builds the lines of one task: its known run time in the period, then its corrections. */
export const buildInvoiceLines = (
  task: InvoiceTask,
  fromWall: number,
  toWall: number,
): InvoiceLine[] => {
  const {
    taskId,
    accelerators,
    startedWall,
    endedWall,
    unknownIntervals: unknown,
    corrections,
  } = task;
  const known =
    startedWall === null
      ? null
      : computeKnownIntervals({ startedWall, endedWall, unknownIntervals: unknown });
  const runs = (known ?? [])
    .map((part) => ({
      fromWall: Math.max(part.fromWall, fromWall),
      toWall: Math.min(part.toWall, toWall),
    }))
    .filter((part) => part.fromWall < part.toWall)
    .map((part) => {
      const acceleratorMs = (part.toWall - part.fromWall) * accelerators;
      return { kind: 'run' as const, taskId, accelerators, ...part, acceleratorMs };
    });
  const corrected = corrections
    .filter(({ wall }) => wall >= fromWall && wall < toWall)
    .map(({ kind, id, accelerators: count, deltaMs, wall }) => {
      const acceleratorMs = deltaMs * count;
      return { kind, id, taskId, accelerators: count, deltaMs, wall, acceleratorMs };
    });
  return [...runs, ...corrected];
};
