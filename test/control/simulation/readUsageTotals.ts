import { listRecords } from '../../../src/control/report/listRecords.js';
import type { UsageTotal } from '../../../src/control/usage/UsageTotal.js';
import type { FakePlatform } from './FakePlatform.js';
import { readNewestRecords } from './readNewestRecords.js';

/** The totals of use in the fake store, by workspace and day. */
export const readUsageTotals = (platform: FakePlatform): UsageTotal[] =>
  listRecords(readNewestRecords(platform, 'runs'), 'usage').map(({ total }) => total);
