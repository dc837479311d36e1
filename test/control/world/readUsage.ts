import { listRecords } from '../../../src/control/report/listRecords.js';
import type { UsageTotal } from '../../../src/control/usage/UsageTotal.js';
import type { Office } from './Office.js';
import { readNewest } from './readNewest.js';

/** The totals of use in the fake store, by workspace and day. */
export const readUsage = (office: Office): UsageTotal[] =>
  listRecords(readNewest(office, 'runs'), 'usage').map(({ total }) => total);
