import type { Measures } from '../Measures.js';
import type { JobPolicy } from './JobPolicy.js';
import type { JobScenario } from './JobScenario.js';
import { zoneSize } from './zoneSize.js';

const tickEveryMs = 100;
const sampleEveryMs = 1000;
// A run that has not ended by then is reported as unfinished.
const maxRunMs = 3_600_000;

// Largest gang that fits on one worker, as a share of the largest that the free count would allow.
const measureFit = (free: number[]): number | null => {
  const total = free.reduce((sum, count) => sum + count, 0);
  return total === 0 ? null : Math.max(...free) / Math.min(total, zoneSize.acceleratorsPerWorker);
};

const computeMean = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Runs the jobs on virtual time until all have ended; times in seconds. */
export const runJobs = ({ jobs }: JobScenario, policy: JobPolicy): Measures => {
  const fits: number[] = [];
  const waiting = [...jobs];
  const lastArrivalAt = jobs.at(-1)!.arrivalAt;
  const isOpen = (): boolean =>
    waiting.length > 0 || jobs.some((job) => policy.getTimes(job).endAt === null);
  let at = 0;
  for (; isOpen() && at < maxRunMs; at += tickEveryMs) {
    while (waiting[0] && waiting[0].arrivalAt <= at) policy.submit(waiting.shift()!, at);
    policy.tick(at);
    const fit =
      at % sampleEveryMs === 0 && at <= lastArrivalAt
        ? measureFit(policy.listFreeAccelerators())
        : null;
    if (fit !== null) fits.push(fit);
  }
  const groups = [...new Set(jobs.map(({ group }) => group))].sort();
  const measures = groups.flatMap((group) => {
    const ended = jobs.filter((job) => job.group === group);
    const list = (key: 'startAt' | 'endAt'): number[] =>
      ended.map((job) => ((policy.getTimes(job)[key] ?? at) - job.arrivalAt) / 1000);
    return [
      [`${group}-start-s`, computeMean(list('startAt'))],
      [`${group}-completion-s`, computeMean(list('endAt'))],
      [`${group}-completion-max-s`, Math.max(...list('endAt'))],
    ] as [string, number][];
  });
  return {
    ...Object.fromEntries(measures),
    'makespan-s': at / 1000,
    'largest-fit': computeMean(fits),
    unfinished: jobs.filter((job) => policy.getTimes(job).endAt === null).length,
  };
};
