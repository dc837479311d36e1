import type { TaskReport } from '../../../src/core/ownership/TaskReport.js';
import type { WorkerCall } from '../../../src/core/ownership/WorkerCall.js';
import type { FakeTask } from './FakeTask.js';
import type { FakeWorkers } from './FakeWorkers.js';

type TaskCall = Exclude<WorkerCall, { kind: 'lease' }>;

type TaskCallHandler = (task: FakeTask, at: number) => string | undefined;

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
  // Run time up to the latest checkpoint, by job; all parts of a gang progress together.
  const checkpointedMs = new Map<string, number>();

  const updateReport = (task: FakeTask, at: number): TaskReport => {
    const { report, startedAt } = task;
    if (startedAt === null) return { ...report };
    const remainingMs = getRunMs(report.jobId) - (checkpointedMs.get(report.jobId) ?? 0);
    report.ranMs = at - startedAt;
    if (report.ranMs >= remainingMs) report.state = 'finished';
    return { ...report };
  };
  const callHandlers: Record<TaskCall['kind'], TaskCallHandler> = {
    prepareTask: () => undefined,
    startTask: (task, at) => {
      task.startedAt ??= at;
      task.report.state = 'running';
      return undefined;
    },
    stopTask: ({ report, checkpoint }) => {
      if (checkpoint !== undefined) checkpointedMs.set(report.jobId, Number(checkpoint));
      tasks.delete(report.taskId);
      return undefined;
    },
    // Reports do not show the checkpoint, because it is complete only when the call is answered.
    checkpointTask: (task, at) => {
      task.checkpoint = String(
        (checkpointedMs.get(task.report.jobId) ?? 0) + at - (task.startedAt ?? at),
      );
      return task.checkpoint;
    },
  };
  return {
    call: (workerId, call, at) => {
      // Task calls are idempotent; the scheduler repeats a call until it has received the answer.
      if (call.kind === 'prepareTask' && !tasks.has(call.taskId)) {
        tasks.set(call.taskId, { workerId, report: buildReport(call), startedAt: null });
      }
      const task = tasks.get(call.taskId);
      if (!task) return { accepted: false };
      const checkpoint = callHandlers[call.kind](task, at);
      return { accepted: true, ...(checkpoint === undefined ? {} : { checkpoint }) };
    },
    listTasks: (workerId, at) => {
      const ownTasks = [...tasks.values()].filter((task) => task.workerId === workerId);
      const reports = ownTasks.map((task) => updateReport(task, at));
      ownTasks
        .filter(({ report }) => report.state === 'finished')
        .forEach(({ report }) => tasks.delete(report.taskId));
      return reports;
    },
  };
};
