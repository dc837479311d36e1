import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';
import type { FakeTask } from './FakeTask.js';
import type { FakeWorkers } from './FakeWorkers.js';

type TaskCall = Exclude<WorkerCall, { kind: 'lease' }>;

type TaskCaller = (task: FakeTask, at: number) => string | undefined;

const buildReport = (call: Extract<TaskCall, { kind: 'prepareTask' }>): TaskReport => ({
  taskId: call.taskId,
  jobId: call.jobId,
  workspace: call.workspace,
  attempt: call.attempt,
  index: call.index,
  parts: call.parts,
  accelerators: call.accelerators,
  state: 'prepared',
  ranMs: 0,
});

/** Creates healthy workers that run every task for the time that `getRunMs` gives for its job. */
export const createFakeWorkers = (getRunMs: (jobId: string) => number): FakeWorkers => {
  const tasks = new Map<string, FakeTask>();
  // Run time before the newest checkpoint, by job; the parts of a gang advance together.
  const doneMs = new Map<string, number>();

  const updateReport = (task: FakeTask, at: number): TaskReport => {
    const { report, startedAt } = task;
    if (startedAt === null) return { ...report };
    const leftMs = getRunMs(report.jobId) - (doneMs.get(report.jobId) ?? 0);
    report.ranMs = at - startedAt;
    if (report.ranMs >= leftMs) report.state = 'finished';
    return { ...report };
  };
  const callers: Record<TaskCall['kind'], TaskCaller> = {
    prepareTask: () => undefined,
    startTask: (task, at) => {
      task.startedAt ??= at;
      task.report.state = 'running';
      return undefined;
    },
    stopTask: ({ report, checkpoint }) => {
      if (checkpoint !== undefined) doneMs.set(report.jobId, Number(checkpoint));
      tasks.delete(report.taskId);
      return undefined;
    },
    // Kept out of the reports, because the caller answers only when the checkpoint is taken.
    checkpointTask: (task, at) => {
      task.checkpoint = String((doneMs.get(task.report.jobId) ?? 0) + at - (task.startedAt ?? at));
      return task.checkpoint;
    },
  };
  return {
    call: (workerId, call, at) => {
      // Task calls are idempotent; the scheduler repeats those whose answer it has not seen yet.
      if (call.kind === 'prepareTask' && !tasks.has(call.taskId)) {
        tasks.set(call.taskId, { workerId, report: buildReport(call), startedAt: null });
      }
      const task = tasks.get(call.taskId);
      if (!task) return { accepted: false };
      const checkpoint = callers[call.kind](task, at);
      return { accepted: true, ...(checkpoint === undefined ? {} : { checkpoint }) };
    },
    listTasks: (workerId, at) => {
      const own = [...tasks.values()].filter((task) => task.workerId === workerId);
      const reports = own.map((task) => updateReport(task, at));
      own
        .filter(({ report }) => report.state === 'finished')
        .forEach(({ report }) => tasks.delete(report.taskId));
      return reports;
    },
  };
};
