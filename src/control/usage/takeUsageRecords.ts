import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { formatDay } from './formatDay.js';

const dayMs = 86_400_000;
// Two months: last month's invoices can still be built when it is over.
const retentionMs = 62 * dayMs;

/** Takes out the totals that have to be written, and drops those that are too old. */
export const takeUsageRecords = ({ usage }: Term, now: Now): RunsRecord[] => {
  const due = [...usage.unwrittenKeys].flatMap((key): RunsRecord[] => {
    const total = usage.totals.get(key);
    return total ? [{ type: 'usage', total: { ...total } }] : [];
  });
  usage.unwrittenKeys.clear();
  if (due.length === 0) return [];
  const oldest = formatDay(now.wall - retentionMs);
  const dropped = [...usage.totals].filter(([, { day }]) => day < oldest);
  dropped.forEach(([key]) => usage.totals.delete(key));
  return [
    ...due,
    ...dropped.map(([key]): RunsRecord => ({ type: 'dropped', recordType: 'usage', id: key })),
  ];
};
