import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Task } from '../plans/Task.js';
import { buildUsageKey } from './buildUsageKey.js';
import { formatDay } from './formatDay.js';
import type { Sighting } from './Sighting.js';
import type { UsageTotal } from './UsageTotal.js';

const getTotal = (term: Term, workspace: string, day: string): UsageTotal => {
  const key = buildUsageKey({ workspace, day });
  const known = term.usage.totals.get(key);
  if (known) return known;
  const total = { workspace, day, runs: 0, gpuMs: 0, cpuMs: 0, unknownRuns: 0, unknownGpuMs: 0 };
  term.usage.totals.set(key, total);
  return total;
};

// Up to this, an end counts as listed at once; the next look follows the last answer.
const promptMs = 250;

/**
 * Adds a run that is over to its workspace's use of the day. The time in which the worker was not
 * looked at before the end was listed is unknown: the run ended somewhere in it. The total is written
 * with the same append as the end, before the end is acknowledged, so that each end counts once.
 */
export const noteUsage = (
  term: Term,
  task: Task,
  end: 'listed' | 'unknown',
  seen: Sighting,
  now: Now,
): void => {
  if (task.startedAt === null) return;
  const wholeMs = Math.max(0, seen.at - task.startedAt);
  const unseenMs = seen.unseenMs > promptMs ? seen.unseenMs : 0;
  const knownMs = Math.max(0, seen.at - (task.seenAt ?? seen.at) - unseenMs);
  const unknownMs = wholeMs - knownMs > promptMs ? wholeMs - knownMs : 0;
  task.startedAt = null;
  const total = getTotal(term, task.workspace, formatDay(now.wall));
  term.usage.due.add(buildUsageKey(total));
  total[end === 'listed' ? 'runs' : 'unknownRuns'] += 1;
  total.gpuMs += Math.round(knownMs * task.need.gpu);
  total.cpuMs += Math.round((knownMs * task.need.cpu) / 1000);
  total.unknownGpuMs += Math.round(unknownMs * task.need.gpu);
};
