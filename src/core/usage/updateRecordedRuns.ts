import type { RecordedRun } from './RecordedRun.js';
import type { StoredRecord } from './StoredRecord.js';

/** Limits the memory if workers do not report their usage; the oldest tasks are dropped. */
const maxRecordedRuns = 100_000;

type RunUpdaters = {
  readonly [K in StoredRecord['kind']]?: (
    runs: Map<string, RecordedRun>,
    record: Extract<StoredRecord, { kind: K }>,
  ) => void;
};

const runUpdaters: RunUpdaters = {
  taskStarted: (runs, { taskId, wall }) => {
    const [oldest] = runs.keys();
    if (runs.size >= maxRecordedRuns && oldest !== undefined) runs.delete(oldest);
    runs.set(taskId, { taskId, startedWall: wall, endedWall: null, unknownIntervals: [] });
  },
  taskEnded: (runs, { taskId, wall }) => {
    const run = runs.get(taskId);
    if (run) run.endedWall = wall;
  },
  taskUnknown: (runs, { taskId, fromWall, toWall }) => {
    runs.get(taskId)?.unknownIntervals.push({ fromWall, toWall });
  },
};

/** Stores the recorded times of tasks for the comparison with the workers' reports. */
export const updateRecordedRuns = (runs: Map<string, RecordedRun>, records: StoredRecord[]): void =>
  records.forEach((record) => {
    const update = runUpdaters[record.kind] as
      ((to: Map<string, RecordedRun>, of: StoredRecord) => void) | undefined;
    update?.(runs, record);
  });
