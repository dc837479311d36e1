import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { formatDay } from './formatDay.js';

const dayMs = 86_400_000;
// Two months, so that last month's invoices can still be built.
const retentionMs = 62 * dayMs;

/** Takes the unwritten usage totals, and drops totals past their retention. */
export const takeUsageRecords = ({ usage }: Term, now: Now): RunsRecord[] => {
  const usageRecords = [...usage.unwrittenKeys].flatMap((key): RunsRecord[] => {
    const total = usage.totals.get(key);
    return total ? [{ type: 'usage', total: { ...total } }] : [];
  });
  usage.unwrittenKeys.clear();
  if (usageRecords.length === 0) return [];
  const oldestDay = formatDay(now.wall - retentionMs);
  const expired = [...usage.totals].filter(([, { day }]) => day < oldestDay);
  expired.forEach(([key]) => usage.totals.delete(key));
  return [
    ...usageRecords,
    ...expired.map(([key]): RunsRecord => ({ type: 'dropped', recordType: 'usage', id: key })),
  ];
};
