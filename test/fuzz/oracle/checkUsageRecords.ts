import type { UsageRecord } from '../../../src/core/usage/UsageRecord.js';
import type { TaskRun } from '../simulation/TaskRun.js';
import type { Simulation } from '../simulation/Simulation.js';
import { isEqualJson } from './isEqualJson.js';
import type { Property } from './Property.js';

const listRecords = (simulation: Simulation): UsageRecord[] =>
  (simulation.log.streams.get('usage') ?? []).map(({ data }) => data as UsageRecord);

// Two schedulers may record the same start at slightly different times; the first record counts.
const dropTimes = (record: UsageRecord): object => {
  const times = { wall: null, fromWall: null, toWall: null };
  return { ...record, ...times };
};

const findConflict = (records: UsageRecord[]): string | null => {
  const known = new Map<string, UsageRecord>();
  for (const record of records) {
    const first = known.get(record.id);
    if (first && !isEqualJson(dropTimes(first), dropTimes(record))) {
      return `two records ${record.id}: ${JSON.stringify([first, record])}`;
    }
    known.set(record.id, record);
  }
  return null;
};

// A renewal reports the end after up to 1 s, a batch is sent after 0.5 s and then appended. An end
// more recent than this at the end of the simulation need not be in the log yet.
const recordDelayMs = 5000;

const checkRun = (run: TaskRun, kinds: ReadonlySet<string>, now: number): string | null => {
  if (kinds.has('taskUnknown')) return null;
  const hasEnded = run.endedAt !== null && run.endedAt + recordDelayMs <= now;
  const missing = ['taskStarted', ...(hasEnded ? ['taskEnded'] : [])].filter(
    (kind) => !kinds.has(kind),
  );
  return missing.length === 0 ? null : `${run.taskId} ran without ${missing.join(' and ')}`;
};

/** P9: the log has every task that ran, or an unknown interval of it; no id has two contents. */
export const checkUsageRecords: Property = (simulation) => {
  const records = listRecords(simulation);
  const kinds = new Map<string, Set<string>>();
  records.forEach((record) => {
    if (!('taskId' in record)) return;
    kinds.set(record.taskId, (kinds.get(record.taskId) ?? new Set<string>()).add(record.kind));
  });
  const conflict = findConflict(records);
  if (conflict) return conflict;
  return (
    simulation.history.taskRuns
      .map((run) => checkRun(run, kinds.get(run.taskId) ?? new Set(), simulation.now))
      .find((fault) => fault !== null) ?? null
  );
};
