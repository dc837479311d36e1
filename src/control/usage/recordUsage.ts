import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import { buildUsageKey } from './buildUsageKey.js';
import { formatDay } from './formatDay.js';
import type { EndObservation } from './EndObservation.js';
import type { UsageTotal } from './UsageTotal.js';

const getOrCreateTotal = (term: Term, workspace: string, day: string): UsageTotal => {
  const key = buildUsageKey({ workspace, day });
  const existing = term.usage.totals.get(key);
  if (existing) return existing;
  const total = { workspace, day, runs: 0, gpuMs: 0, cpuMs: 0, unknownRuns: 0, unknownGpuMs: 0 };
  term.usage.totals.set(key, total);
  return total;
};

// Shorter unobserved times are ignored: each poll is sent right after the last answer.
const observationToleranceMs = 250;

/**
 * Adds an ended run to its workspace's usage of the day. Time in which the worker was not polled before
 * the end was listed is unknown, because the run ended somewhere within it. The total is written in
 * the same append as the end, before the end is acknowledged, so that each end is counted once.
 */
export const recordUsage = (
  term: Term,
  task: Task,
  end: 'listed' | 'unknown',
  observation: EndObservation,
  now: Now,
): void => {
  if (task.startedAt === null) return;
  const totalMs = Math.max(0, observation.at - task.startedAt);
  // Time before the start is no part of the run.
  const unobservedFrom = Math.max(observation.unobservedFrom, task.startedAt);
  const gapMs = observation.unobservedTo - unobservedFrom;
  const unobservedMs = gapMs > observationToleranceMs ? gapMs : 0;
  const knownMs = Math.max(
    0,
    observation.at - (task.observedRunningAt ?? observation.at) - unobservedMs,
  );
  const unknownMs = totalMs - knownMs > observationToleranceMs ? totalMs - knownMs : 0;
  task.startedAt = null;
  const total = getOrCreateTotal(term, task.workspace, formatDay(now.wall));
  term.usage.unwrittenKeys.add(buildUsageKey(total));
  total[end === 'listed' ? 'runs' : 'unknownRuns'] += 1;
  total.gpuMs += Math.round(knownMs * task.need.gpu);
  total.cpuMs += Math.round((knownMs * task.need.cpu) / 1000);
  total.unknownGpuMs += Math.round(unknownMs * task.need.gpu);
};
