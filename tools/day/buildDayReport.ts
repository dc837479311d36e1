import { countBy } from '../../src/control/report/countBy.js';
import type { JobTrace } from './JobTrace.js';

interface QueueReport {
  queue: string;
  jobs: number;
  outcomes: Record<string, number>;
  /** Jobs that found no room at once, by whether they were guaranteed. */
  waited: { guaranteed: number; others: number };
  /** Milliseconds from acceptance to the first start. */
  waitMs: { median: number; p95: number };
  /** Milliseconds from acceptance to the end. */
  ageMs: { median: number; p95: number };
  /** Runs that were lost and the time that they had run, by cause. */
  lost: Record<string, { runs: number; ranMs: number }>;
}

const unknownQueue = '(not ended)';

const getQuantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

const computeSummary = (values: readonly number[]) => ({
  median: getQuantile(values, 0.5),
  p95: getQuantile(values, 0.95),
});

const listSpans = (jobs: readonly JobTrace[], getEnd: (job: JobTrace) => number | null): number[] =>
  jobs.flatMap((job) => {
    const end = getEnd(job);
    return end === null || job.recordedAt === null ? [] : [Math.max(0, end - job.recordedAt)];
  });

const countLost = (jobs: readonly JobTrace[]): QueueReport['lost'] => {
  const lost: QueueReport['lost'] = {};
  jobs
    .flatMap((job) => job.lost)
    .forEach(({ cause, ranMs }) => {
      const known = lost[cause] ?? { runs: 0, ranMs: 0 };
      lost[cause] = { runs: known.runs + 1, ranMs: known.ranMs + ranMs };
    });
  return lost;
};

/** Splits a day by queue: who waits and for how long, and what work was lost to which cause. */
export const buildDayReport = (traces: readonly JobTrace[]): QueueReport[] => {
  const queues = [...new Set(traces.map(({ queue }) => queue ?? unknownQueue))].sort();
  return queues.map((queue) => {
    const jobs = traces.filter((trace) => (trace.queue ?? unknownQueue) === queue);
    return {
      queue,
      jobs: jobs.length,
      outcomes: countBy(jobs.map(({ outcome }) => outcome ?? 'open')),
      waited: {
        guaranteed: jobs.filter(({ waitedGuaranteed }) => waitedGuaranteed === true).length,
        others: jobs.filter(({ waitedGuaranteed }) => waitedGuaranteed === false).length,
      },
      waitMs: computeSummary(listSpans(jobs, ({ firstStartAt }) => firstStartAt)),
      ageMs: computeSummary(listSpans(jobs, ({ endedAt }) => endedAt)),
      lost: countLost(jobs),
    };
  });
};
