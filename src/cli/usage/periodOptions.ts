import type { CliOption } from '../CliOption.js';

/** Options of the reports about a period. */
export const periodOptions: readonly CliOption[] = [
  { flags: '--from <time>', description: 'First moment, UTC date or time' },
  { flags: '--to <time>', description: 'First moment after the period, UTC date or time' },
];
