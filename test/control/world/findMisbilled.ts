import type { FakeRun } from './FakeRun.js';
import type { Office } from './Office.js';
import { readUsage } from './readUsage.js';

// A start is counted from its order, an end when it is listed; both take a call, also a repeated one.
const toleranceMs = 3000;

const getRanMs = ({ startedAt, endedAt }: FakeRun): number => (endedAt ?? startedAt) - startedAt;

/** Checks that no more is billed than the workers ran; empty when that holds. */
export const findMisbilled = (office: Office): string[] => {
  const totals = readUsage(office);
  const billed = totals.reduce((sum, { runs }) => sum + runs, 0);
  const billedMs = totals.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
  // Each task of the fake platform needs one core.
  const ranMs = office.runs.reduce((sum, run) => sum + getRanMs(run), 0);
  const ended = office.runs.filter(({ endedAt }) => endedAt !== null).length;
  return [
    ...(billed > ended ? [`${billed} runs are billed, ${ended} ended`] : []),
    ...(billedMs > ranMs + billed * toleranceMs ? [`${billedMs} of ${ranMs} core-ms billed`] : []),
  ];
};
