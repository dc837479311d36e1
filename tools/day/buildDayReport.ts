import { groupBy } from '../../src/core/groupBy.js';
import { countBy } from '../../src/control/report/countBy.js';
import type { JobTrace } from './JobTrace.js';

interface GroupReport {
  group: string;
  jobs: number;
  outcomes: Record<string, number>;
  /** Jobs that waited for capacity, by whether they were guaranteed. */
  waited: { guaranteed: number; others: number };
  /** Milliseconds from acceptance to the first start. */
  waitMs: { median: number; p95: number };
  /** Milliseconds from acceptance to the end. */
  ageMs: { median: number; p95: number };
  /** Lost runs and the time that they had run, by cause. */
  lost: Record<string, { runs: number; ranMs: number }>;
}

type Grouping = 'queue' | 'workspace' | 'zone' | 'size';

// Upper bounds of the size groups, in accelerators.
const sizeLimits = [1, 4, 8, 16, 32, 64];

const formatSize = (gpu: number): string => {
  const limit = sizeLimits.find((size) => gpu <= size);
  return limit === undefined ? `over ${sizeLimits.at(-1)}` : `to ${limit}`;
};

/** The group of a job, or null if it is unknown, by grouping. */
const groupings: Record<Grouping, (job: JobTrace) => string | null> = {
  queue: ({ queue }) => queue,
  workspace: ({ workspace }) => workspace,
  zone: ({ zone }) => zone,
  size: ({ gpu }) => (gpu === null ? null : formatSize(gpu)),
};

const unknownGroupName = '(unknown)';

const getQuantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

const buildSummary = (values: readonly number[]) => ({
  median: getQuantile(values, 0.5),
  p95: getQuantile(values, 0.95),
});

const listDurationsMs = (
  jobs: readonly JobTrace[],
  getEnd: (job: JobTrace) => number | null,
): number[] =>
  jobs.flatMap((job) => {
    const end = getEnd(job);
    return end === null || job.recordedAt === null ? [] : [Math.max(0, end - job.recordedAt)];
  });

const countLost = (jobs: readonly JobTrace[]): GroupReport['lost'] => {
  const lost: GroupReport['lost'] = {};
  jobs
    .flatMap((job) => job.lostRuns)
    .forEach(({ cause, ranMs }) => {
      const total = lost[cause] ?? { runs: 0, ranMs: 0 };
      lost[cause] = { runs: total.runs + 1, ranMs: total.ranMs + ranMs };
    });
  return lost;
};

const buildGroup = (group: string, jobs: readonly JobTrace[]): GroupReport => ({
  group,
  jobs: jobs.length,
  outcomes: countBy(jobs.map(({ outcome }) => outcome ?? 'open')),
  waited: {
    guaranteed: jobs.filter(({ firstWaitGuaranteed }) => firstWaitGuaranteed === true).length,
    others: jobs.filter(({ firstWaitGuaranteed }) => firstWaitGuaranteed === false).length,
  },
  waitMs: buildSummary(listDurationsMs(jobs, ({ firstStartAt }) => firstStartAt)),
  ageMs: buildSummary(listDurationsMs(jobs, ({ endedAt }) => endedAt)),
  lost: countLost(jobs),
});

const splitBy = (traces: readonly JobTrace[], getGroup: (job: JobTrace) => string | null) => {
  const byGroup = groupBy(traces, (trace) => getGroup(trace) ?? unknownGroupName);
  return [...byGroup]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, jobs]) => buildGroup(name, jobs));
};

/** Reports waiting times, outcomes and lost runs of a day by queue, workspace, zone and size. */
export const buildDayReport = (traces: readonly JobTrace[]): Record<Grouping, GroupReport[]> => ({
  queue: splitBy(traces, groupings.queue),
  workspace: splitBy(traces, groupings.workspace),
  zone: splitBy(traces, groupings.zone),
  size: splitBy(traces, groupings.size),
});
