import type { Invoice } from './Invoice.js';
import type { UsageRecord } from './UsageRecord.js';

/** Sums the request counts that were recorded in the period. */
export const sumRequestCounts = (
  records: readonly UsageRecord[],
  fromWall: number,
  toWall: number,
): Invoice['requests'] => {
  const total = { answered: 0, failed: 0, unknown: 0, busyMs: 0 };
  records.forEach((record) => {
    if (record.kind !== 'requests' || record.wall < fromWall || record.wall >= toWall) return;
    total.answered += record.answered;
    total.failed += record.failed;
    total.unknown += record.unknown;
    total.busyMs += record.busyMs;
  });
  return total;
};
