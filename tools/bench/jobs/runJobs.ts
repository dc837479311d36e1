import type { Measures } from '../Measures.js';
import type { JobPolicy } from './JobPolicy.js';
import type { JobScenario } from './JobScenario.js';
import { zoneSize } from './zoneSize.js';

const tickIntervalMs = 100;
const sampleIntervalMs = 1000;
// Jobs that are still open at this time are counted as unfinished.
const maxRunMs = 3_600_000;

// Largest gang that fits on one worker, relative to the largest one that would fit if the free
// accelerators were on as few workers as possible; null if none is free.
const computeLargestFit = (free: number[]): number | null => {
  const total = free.reduce((sum, count) => sum + count, 0);
  return total === 0 ? null : Math.max(...free) / Math.min(total, zoneSize.acceleratorsPerWorker);
};

const computeMean = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Runs the jobs in virtual time until all have ended; measured times are in seconds. */
export const runJobs = ({ jobs }: JobScenario, policy: JobPolicy): Measures => {
  const largestFits: number[] = [];
  const pending = [...jobs];
  const lastArrivalAt = jobs.at(-1)!.arrivalAt;
  const hasOpenJobs = (): boolean =>
    pending.length > 0 || jobs.some((job) => policy.getTimes(job).endAt === null);
  let at = 0;
  for (; hasOpenJobs() && at < maxRunMs; at += tickIntervalMs) {
    while (pending[0] && pending[0].arrivalAt <= at) policy.submit(pending.shift()!, at);
    policy.tick(at);
    const fit =
      at % sampleIntervalMs === 0 && at <= lastArrivalAt
        ? computeLargestFit(policy.listFreeAccelerators())
        : null;
    if (fit !== null) largestFits.push(fit);
  }
  const groups = [...new Set(jobs.map(({ group }) => group))].sort();
  const measures = groups.flatMap((group) => {
    const groupJobs = jobs.filter((job) => job.group === group);
    const listSeconds = (key: 'startAt' | 'endAt'): number[] =>
      groupJobs.map((job) => ((policy.getTimes(job)[key] ?? at) - job.arrivalAt) / 1000);
    return [
      [`${group}-start-s`, computeMean(listSeconds('startAt'))],
      [`${group}-completion-s`, computeMean(listSeconds('endAt'))],
      [`${group}-completion-max-s`, Math.max(...listSeconds('endAt'))],
    ] as [string, number][];
  });
  return {
    ...Object.fromEntries(measures),
    'makespan-s': at / 1000,
    'largest-fit': computeMean(largestFits),
    unfinished: jobs.filter((job) => policy.getTimes(job).endAt === null).length,
  };
};
