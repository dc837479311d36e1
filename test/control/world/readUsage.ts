import { decodeRecord } from '../../../src/adapters/journal/decodeRecord.js';
import type { UsageTotal } from '../../../src/control/usage/UsageTotal.js';
import type { Office } from './Office.js';

/** The newest totals of use in the store, by workspace and day. */
export const readUsage = (office: Office): UsageTotal[] => {
  const newest = new Map<string, UsageTotal>();
  office.store.streams.runs.forEach((stored) => {
    const record = decodeRecord(stored, 'runs');
    if (record?.type === 'usage') newest.set(stored.key, record.total);
  });
  return [...newest.values()];
};
