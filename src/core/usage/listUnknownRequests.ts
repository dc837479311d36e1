import type { Invoice } from './Invoice.js';
import type { UsageRecord } from './UsageRecord.js';

/** Lists the intervals of unknown request counts that overlap the period, limited to it. */
export const listUnknownRequests = (
  records: readonly UsageRecord[],
  fromWall: number,
  toWall: number,
): Invoice['unknownRequests'] =>
  records
    .flatMap((record) =>
      record.kind === 'requestsUnknown'
        ? [
            {
              gateway: record.gateway,
              fromWall: Math.max(record.fromWall, fromWall),
              toWall: Math.min(record.toWall, toWall),
            },
          ]
        : [],
    )
    .filter((interval) => interval.fromWall < interval.toWall);
