import type { Effect } from '../../../src/core/Effect.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { createFakeWorkers } from '../jobs/createFakeWorkers.js';
import type { JobPolicy } from '../jobs/JobPolicy.js';
import type { JobScenario } from '../jobs/JobScenario.js';
import type { JobTimes } from '../jobs/JobTimes.js';
import { zoneSize } from '../jobs/zoneSize.js';
import { workspaceWeights } from '../requests/workspaceWeights.js';
import { createScheduler } from '../scheduler/createScheduler.js';

// Below the scheduler's 4 s limit for a checkpoint; all other calls are answered at once.
const checkpointMs = 2000;
// A quota covers all zones. With a quota of one zone, a gang of the whole zone would have to wait
// for every other job of its workspace.
const zoneCount = 4;
const gateway = 'vm-2/gateway' as const;
const workerIds = Array.from({ length: zoneSize.workers }, (_, index) => `w${index}`);

const buildWorkspaces = ({ guarantees }: JobScenario) =>
  Object.fromEntries(
    Object.entries(workspaceWeights).map(([name, weight]) => [
      name,
      {
        weight,
        guarantees: guarantees[name] ?? [],
        maxAccelerators: zoneCount * zoneSize.workers * zoneSize.acceleratorsPerWorker,
        maxQueuedRequests: 0,
      },
    ]),
  );

/** Creates a policy that runs the scheduler's reducer with healthy fake workers. */
export const createReducerJobPolicy = (scenario: JobScenario): JobPolicy => {
  const runMsByJob = new Map(scenario.jobs.map((job) => [job.id, job.runMs]));
  const workers = createFakeWorkers((jobId) => runMsByJob.get(jobId)!);
  const times = new Map<string, JobTimes>();
  let now = 0;
  const scheduler = createScheduler(workerIds, buildWorkspaces(scenario), (workerId) =>
    workers.listTasks(workerId, now),
  );
  const delayedAnswers: { at: number; event: UntimedEvent }[] = [];
  const answerCalls = (effects: Effect[]): void =>
    effects.forEach((effect) => {
      if (effect.type !== 'callWorker' || effect.call.kind === 'lease') return;
      const { workerId, call } = effect;
      const { kind, taskId } = call;
      const answer = workers.call(workerId, call, now);
      const event = { type: 'taskAnswered', workerId, taskId, call: kind, ...answer } as const;
      if (kind === 'checkpointTask') delayedAnswers.push({ at: now + checkpointMs, event });
      else answerCalls(scheduler.push(now, event));
    });
  const sendDueAnswers = (): void => {
    const due = delayedAnswers.filter(({ at }) => at <= now);
    delayedAnswers.splice(0, delayedAnswers.length, ...delayedAnswers.filter(({ at }) => at > now));
    due.forEach(({ event }) => answerCalls(scheduler.push(now, event)));
  };
  const recordTimes = (): void =>
    times.forEach((entry, id) => {
      const state = scheduler.state.jobs.jobs.get(id)?.state;
      if (entry.endAt !== null) return;
      if (state === 'running' || state === 'finished') entry.startAt ??= now;
      if (state === 'finished') entry.endAt = now;
    });
  return {
    submit: ({ id, workspace, spec }, at) => {
      now = at;
      times.set(id, { startAt: null, endAt: null });
      const command = { kind: 'submitJob', jobId: id, workspace, spec } as const;
      answerCalls(scheduler.push(at, { type: 'command', from: gateway, requestId: id, command }));
      recordTimes();
    },
    tick: (at) => {
      now = at;
      sendDueAnswers();
      answerCalls(scheduler.push(at, { type: 'tick' }));
      recordTimes();
    },
    getTimes: ({ id }) => times.get(id)!,
    listFreeAccelerators: () =>
      workerIds.map(
        (id) => zoneSize.acceleratorsPerWorker - (scheduler.state.jobs.usedByWorker.get(id) ?? 0),
      ),
  };
};
