import { gangSeries } from './gangSeries.js';
import { jobSeries } from './jobSeries.js';
import { leaseSeries } from './leaseSeries.js';
import { membershipSeries } from './membershipSeries.js';
import { replicationSeries } from './replicationSeries.js';
import { routingSeries } from './routingSeries.js';
import type { Series } from './Series.js';
import { settingsSeries } from './settingsSeries.js';
import { usageSeries } from './usageSeries.js';

/** Series of the time per operation, by name. */
export const timingSeries: Readonly<Record<string, Series>> = {
  ...leaseSeries,
  ...routingSeries,
  ...jobSeries,
  ...gangSeries,
  ...replicationSeries,
  ...settingsSeries,
  ...membershipSeries,
  ...usageSeries,
};
