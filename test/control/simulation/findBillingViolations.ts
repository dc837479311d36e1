import type { FakeRun } from './FakeRun.js';
import type { FakePlatform } from './FakePlatform.js';
import { readUsageTotals } from './readUsageTotals.js';

// A run is billed from the sending of its start to the listing of its end; either call may be repeated.
const toleranceMsPerRun = 3000;

const getRunMs = ({ startedAt, endedAt }: FakeRun): number => (endedAt ?? startedAt) - startedAt;

/** Finds usage that was billed but not run. */
export const findBillingViolations = (platform: FakePlatform): string[] => {
  const totals = readUsageTotals(platform);
  const billed = totals.reduce((sum, { runs }) => sum + runs, 0);
  const billedMs = totals.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
  // Each task needs one core.
  const ranMs = platform.runs.reduce((sum, run) => sum + getRunMs(run), 0);
  const ended = platform.runs.filter(({ endedAt }) => endedAt !== null).length;
  return [
    ...(billed > ended ? [`${billed} runs are billed, ${ended} ended`] : []),
    ...(billedMs > ranMs + billed * toleranceMsPerRun
      ? [`${billedMs} core-ms are billed, ${ranMs} ran`]
      : []),
  ];
};
