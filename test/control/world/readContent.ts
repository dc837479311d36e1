import type { StoreContent } from '../../../src/control/report/StoreContent.js';
import type { Office } from './Office.js';
import { readNewest } from './readNewest.js';

/** Reads the newest record of each key from the fake store. */
export const readContent = (office: Office): StoreContent => ({
  config: readNewest(office, 'config'),
  journal: readNewest(office, 'journal'),
  runs: readNewest(office, 'runs'),
  claims: readNewest(office, 'claims'),
  workers: readNewest(office, 'workers'),
});
