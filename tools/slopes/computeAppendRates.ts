import { defaultTiming } from '../../src/core/defaultTiming.js';
import { targetSize } from './targetSize.js';

const secondsPerDay = 86_400;
/**
 * Estimate: how often the settings tree is appended again in a third of the log's retention; more than once
 * if recorders do not see each other's append.
 */
const treesPerPeriod = 1;

/** Appends per second to each log stream, for a number of entry VMs. */
interface AppendRates {
  /** Upper bound: a recorder that always has usage records appends once per `usageBatchMs`. */
  usage: number;
  /** Upper bound: each submission and each end of a job is appended on its own. */
  jobs: number;
  /** Proposals, and the whole tree once per third of the log's retention. */
  settings: number;
  total: number;
}

/** Computes the appends per second from the batching rules. */
export const computeAppendRates = (vms: number): AppendRates => {
  const { usageBatchMs, logRetentionMs } = defaultTiming;
  const appendsPerStream = (vms * 1000) / usageBatchMs;
  const usage = appendsPerStream;
  const jobs = Math.min(appendsPerStream, (2 * targetSize.jobsPerDay) / secondsPerDay);
  const treeAppends = treesPerPeriod / (logRetentionMs / 3 / 1000);
  const settings = targetSize.changesPerDay / secondsPerDay + treeAppends;
  return { usage, jobs, settings, total: usage + jobs + settings };
};
