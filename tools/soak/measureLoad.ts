import type { LoadSample } from './LoadSample.js';
import type { LoadSummary } from './LoadSummary.js';
import type { LoopStall } from './LoopStall.js';

const findLongestStall = (stalls: readonly LoopStall[]): LoopStall | null => {
  const [longest] = [...stalls].sort((left, right) => right.lagMs - left.lagMs);
  return longest ? { time: longest.time, lagMs: longest.lagMs, cpuMs: longest.cpuMs } : null;
};

const parseStalls = (lines: readonly string[]): LoopStall[] =>
  lines.filter((line) => line.includes('"loop_lag"')).map((line) => JSON.parse(line) as LoopStall);

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
    longestHarnessStall: findLongestStall(samples),
    longestStoreStall: findLongestStall(parseStalls(storeLines)),
  };
};
