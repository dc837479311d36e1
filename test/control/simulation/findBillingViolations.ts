import type { FakeRun } from './FakeRun.js';
import type { FakePlatform } from './FakePlatform.js';
import { readUsageTotals } from './readUsageTotals.js';

// A start is counted from its order, an end when it is listed; both take a call, also a repeated one.
const toleranceMsPerRun = 3000;

const getRanMs = ({ startedAt, endedAt }: FakeRun): number => (endedAt ?? startedAt) - startedAt;

/** Checks that no more is billed than the workers ran; empty when that holds. */
export const findBillingViolations = (platform: FakePlatform): string[] => {
  const totals = readUsageTotals(platform);
  const billed = totals.reduce((sum, { runs }) => sum + runs, 0);
  const billedMs = totals.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
  // Each task of the fake platform needs one core.
  const ranMs = platform.runs.reduce((sum, run) => sum + getRanMs(run), 0);
  const ended = platform.runs.filter(({ endedAt }) => endedAt !== null).length;
  return [
    ...(billed > ended ? [`${billed} runs are billed, ${ended} ended`] : []),
    ...(billedMs > ranMs + billed * toleranceMsPerRun
      ? [`${billedMs} of ${ranMs} core-ms billed`]
      : []),
  ];
};
