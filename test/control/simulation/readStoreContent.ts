import type { StoreContent } from '../../../src/control/report/StoreContent.js';
import type { FakePlatform } from './FakePlatform.js';
import { readNewestRecords } from './readNewestRecords.js';

/** Reads the newest record of each key from the fake store. */
export const readStoreContent = (platform: FakePlatform): StoreContent => ({
  config: readNewestRecords(platform, 'config'),
  journal: readNewestRecords(platform, 'journal'),
  runs: readNewestRecords(platform, 'runs'),
  claims: readNewestRecords(platform, 'claims'),
  workers: readNewestRecords(platform, 'workers'),
});
