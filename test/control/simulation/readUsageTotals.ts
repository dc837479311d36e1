import { listRecords } from '../../../src/control/report/listRecords.js';
import type { UsageTotal } from '../../../src/control/usage/UsageTotal.js';
import type { FakePlatform } from './FakePlatform.js';
import { readNewestRecords } from './readNewestRecords.js';

/** Reads the usage totals by workspace and day from the fake store. */
export const readUsageTotals = (platform: FakePlatform): UsageTotal[] =>
  listRecords(readNewestRecords(platform, 'runs'), 'usage').map(({ total }) => total);
