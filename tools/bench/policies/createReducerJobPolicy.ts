import type { Effect } from '../../../src/core/Effect.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { createFakeWorkers } from '../jobs/createFakeWorkers.js';
import type { JobPolicy } from '../jobs/JobPolicy.js';
import type { JobScenario } from '../jobs/JobScenario.js';
import type { JobTimes } from '../jobs/JobTimes.js';
import { zoneSize } from '../jobs/zoneSize.js';
import { workspaceWeights } from '../requests/workspaceWeights.js';
import { createScheduler } from '../scheduler/createScheduler.js';

// Within the 4 s that the scheduler gives a checkpoint; the other calls are answered at once.
const checkpointMs = 2000;
// The quota counts all zones of an office. With the quota of one zone, a gang of the whole zone
// waits for every other job of its workspace.
const officeZones = 4;
const gateway = 'vm-2/gateway' as const;
const workerIds = Array.from({ length: zoneSize.workers }, (_, index) => `w${index}`);

const buildWorkspaces = ({ guarantees }: JobScenario) =>
  Object.fromEntries(
    Object.entries(workspaceWeights).map(([name, weight]) => [
      name,
      {
        weight,
        guarantees: guarantees[name] ?? [],
        maxAccelerators: officeZones * zoneSize.workers * zoneSize.acceleratorsPerWorker,
        maxQueuedRequests: 0,
      },
    ]),
  );

/** The scheduler's own reducer with healthy fake workers. */
export const createReducerJobPolicy = (scenario: JobScenario): JobPolicy => {
  const runMs = new Map(scenario.jobs.map((job) => [job.id, job.runMs]));
  const workers = createFakeWorkers((jobId) => runMs.get(jobId)!);
  const times = new Map<string, JobTimes>();
  let now = 0;
  const scheduler = createScheduler(workerIds, buildWorkspaces(scenario), (workerId) =>
    workers.listTasks(workerId, now),
  );
  const late: { at: number; event: UntimedEvent }[] = [];
  const answerCalls = (effects: Effect[]): void =>
    effects.forEach((effect) => {
      if (effect.type !== 'callWorker' || effect.call.kind === 'lease') return;
      const { workerId, call } = effect;
      const { kind, taskId } = call;
      const answer = workers.call(workerId, call, now);
      const event = { type: 'taskAnswered', workerId, taskId, call: kind, ...answer } as const;
      if (kind === 'checkpointTask') late.push({ at: now + checkpointMs, event });
      else answerCalls(scheduler.push(now, event));
    });
  const answerLate = (): void => {
    const due = late.filter(({ at }) => at <= now);
    late.splice(0, late.length, ...late.filter(({ at }) => at > now));
    due.forEach(({ event }) => answerCalls(scheduler.push(now, event)));
  };
  const noteTimes = (): void =>
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
      noteTimes();
    },
    tick: (at) => {
      now = at;
      answerLate();
      answerCalls(scheduler.push(at, { type: 'tick' }));
      noteTimes();
    },
    getTimes: ({ id }) => times.get(id)!,
    listFreeAccelerators: () =>
      workerIds.map(
        (id) =>
          zoneSize.acceleratorsPerWorker - (scheduler.state.jobs.acceleratorsByWorker.get(id) ?? 0),
      ),
  };
};
