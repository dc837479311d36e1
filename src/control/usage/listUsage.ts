import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { formatDay } from './formatDay.js';

const dayMs = 86_400_000;
// Two months: last month's invoices can still be built when it is over.
const keepMs = 62 * dayMs;

/** Takes out the totals that have to be written, and drops those that are too old. */
export const listUsage = ({ usage }: Term, now: Now): RunsRecord[] => {
  const due = [...usage.due].flatMap((key): RunsRecord[] => {
    const total = usage.totals.get(key);
    return total ? [{ type: 'usage', total: { ...total } }] : [];
  });
  usage.due.clear();
  if (due.length === 0) return [];
  const oldest = formatDay(now.wall - keepMs);
  const dropped = [...usage.totals].filter(([, { day }]) => day < oldest);
  dropped.forEach(([key]) => usage.totals.delete(key));
  return [
    ...due,
    ...dropped.map(([key]): RunsRecord => ({ type: 'dropped', of: 'usage', id: key })),
  ];
};
