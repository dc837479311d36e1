import { buildPartId } from '../journal/buildPartId.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Now } from '../Now.js';
import type { JobPlan } from '../plans/JobPlan.js';
import type { ProgressParts } from '../plans/ProgressParts.js';
import type { Task } from '../plans/Task.js';
import type { StoreLimits } from '../settings/StoreLimits.js';
import { buildPartRows } from './buildPartRows.js';

// A change of one task rewrites its part.
const maxPartBytes = 32_768;
// Key of a record and the lengths in it.
const frameBytes = 128;

type PartRows = ReturnType<typeof buildPartRows>;

/** Splits off the rows that fit into a part, at least one. */
const splitRows = (rows: PartRows, maxBytes: number): [PartRows, PartRows] => {
  let bytes = 0;
  const end = rows.findIndex((row, index) => {
    bytes += row.bytes;
    return index > 0 && bytes > maxBytes;
  });
  return end < 0 ? [rows, []] : [rows.slice(0, end), rows.slice(end)];
};

const assignPart = (parts: ProgressParts, part: number, rows: PartRows): void => {
  parts.tasks.set(part, new Set(rows.map(({ task }) => task)));
  rows.forEach(({ task }) => {
    task.part = part;
  });
};

/** Whether a row of the part has changed, or belongs to an occurrence that is finished. */
const isPartChanged = (
  plan: JobPlan,
  tasks: ReadonlySet<Task>,
  changed: ReadonlySet<Task>,
): boolean => {
  for (const task of tasks) {
    if (changed.has(task) || !plan.occurrences.has(task.occurrence)) return true;
  }
  return false;
};

/**
 * Builds the records of the parts that hold the changed tasks. Rows that no longer fit into their part, and those of
 * new tasks, go to the newest part and to new ones. Newer parts come first, so that no row is missing from the store
 * between two appends.
 */
export const buildPartRecords = (
  plan: JobPlan,
  parts: ProgressParts,
  changed: ReadonlySet<Task>,
  limits: StoreLimits,
  now: Now,
): RunsRecord[] => {
  const maxRowBytes = limits.maxRecordBytes - frameBytes;
  const maxBytes = Math.min(maxPartBytes, maxRowBytes);
  const buildRows = (tasks: Iterable<Task>): PartRows =>
    buildPartRows(plan, tasks, maxRowBytes, now);
  const records: RunsRecord[] = [];
  let homeless = buildRows([...changed].filter(({ part, run }) => part < 0 && run > 0));
  const fill = (part: number, rows: PartRows): void => {
    const [kept, rest] = splitRows(rows, maxBytes);
    assignPart(parts, part, kept);
    homeless = rest;
    records.push({ type: 'progressPart', id: plan.id, part, tasks: kept.map(({ row }) => row) });
  };
  parts.tasks.forEach((tasks, part) => {
    const takesRows = homeless.length > 0 && part === parts.nextNumber - 1;
    if (!takesRows && !isPartChanged(plan, tasks, changed)) return;
    const rows = buildRows(tasks);
    if (rows.length === 0) {
      parts.tasks.delete(part);
      const id = buildPartId(plan.id, part);
      records.push({ type: 'dropped', recordType: 'progressPart', id });
      return;
    }
    const waiting = homeless;
    fill(part, takesRows ? [...rows, ...waiting] : rows);
    if (!takesRows) homeless = [...homeless, ...waiting];
  });
  while (homeless.length > 0) {
    fill(parts.nextNumber, homeless);
    parts.nextNumber += 1;
  }
  return records.reverse();
};
