import type { CliOption } from '../CliOption.js';

/** Options of the commands that report on a period. */
export const periodOptions: readonly CliOption[] = [
  { flags: '--from <time>', description: 'Start of the period, UTC date or time' },
  { flags: '--to <time>', description: 'End of the period (exclusive), UTC date or time' },
];
