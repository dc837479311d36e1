import { defaultTiming } from '../../src/core/defaultTiming.js';
import { targetSize } from './targetSize.js';

const secondsPerDay = 86_400;
/** Estimate: whole trees appended again in one period by recorders that do not see each other. */
const treesPerPeriod = 1;

/** Appends a second of each log stream for a number of entry VMs. */
interface AppendRates {
  /** Upper bound: a recorder that always has usage records appends once in `usageBatchMs`. */
  usage: number;
  /** Upper bound: every job's submission and end in an append of its own. */
  jobs: number;
  /** Proposals, and the whole tree at a third of the log's retention. */
  settings: number;
  total: number;
}

/** Computes the appends a second from the batching rules. */
export const computeAppendRates = (vms: number): AppendRates => {
  const { usageBatchMs, logRetentionMs } = defaultTiming;
  const perLane = (vms * 1000) / usageBatchMs;
  const usage = perLane;
  const jobs = Math.min(perLane, (2 * targetSize.jobsPerDay) / secondsPerDay);
  const trees = treesPerPeriod / (logRetentionMs / 3 / 1000);
  const settings = targetSize.changesPerDay / secondsPerDay + trees;
  return { usage, jobs, settings, total: usage + jobs + settings };
};
