import type { LoadSample } from './LoadSample.js';
import type { LoadSummary } from './LoadSummary.js';

const readLagMs = (line: string): number =>
  line.includes('"loop_lag"') ? (JSON.parse(line) as { lagMs: number }).lagMs : 0;

/** Sums up the samples of the machine's load and the log of the store stand-in. */
export const measureLoad = (
  samples: readonly LoadSample[],
  storeLines: readonly string[],
): LoadSummary => {
  const busyShares = samples.map(({ busyShare }) => busyShare);
  const sum = busyShares.reduce((total, share) => total + share, 0);
  return {
    meanBusyShare: Number((sum / Math.max(1, samples.length)).toFixed(2)),
    maxBusyShare: Math.max(0, ...busyShares),
    maxLoadAverage: Math.max(0, ...samples.map(({ loadAverage }) => loadAverage)),
    maxHarnessLagMs: Math.max(0, ...samples.map(({ lagMs }) => lagMs)),
    maxStoreLagMs: Math.max(0, ...storeLines.map(readLagMs)),
  };
};
