import type { InvoiceTask } from './InvoiceTask.js';
import type { UsageRecord } from './UsageRecord.js';

type TaskRecord = Extract<UsageRecord, { taskId: string }>;
type Collectors = {
  readonly [K in TaskRecord['kind']]: (
    task: InvoiceTask,
    record: Extract<TaskRecord, { kind: K }>,
  ) => void;
};

const collectors: Collectors = {
  taskStarted: (task, { wall }) => {
    task.startedWall = Math.min(task.startedWall ?? wall, wall);
  },
  taskEnded: (task, { wall }) => {
    task.endedWall = Math.max(task.endedWall ?? wall, wall);
  },
  taskUnknown: (task, record) => {
    task.unknownIntervals.push(record);
  },
  correction: (task, record) => {
    task.corrections.push(record);
  },
};

/** Groups records by task, sorted by task id. */
export const collectTasks = (records: readonly UsageRecord[]): InvoiceTask[] => {
  const tasks = new Map<string, InvoiceTask>();
  records.forEach((record) => {
    if (!('taskId' in record)) return;
    const { taskId, jobId, accelerators } = record;
    const task = tasks.get(taskId) ?? {
      jobId,
      taskId,
      accelerators,
      startedWall: null,
      endedWall: null,
      unknownIntervals: [],
      corrections: [],
    };
    tasks.set(taskId, task);
    (collectors[record.kind] as (to: InvoiceTask, of: TaskRecord) => void)(task, record);
  });
  return [...tasks.values()].sort((a, b) => (a.taskId < b.taskId ? -1 : 1));
};
