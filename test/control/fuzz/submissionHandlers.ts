import { scheduleAfter } from '../simulation/scheduleAfter.js';
import { simulationStartMs } from '../simulation/simulationStartMs.js';
import { submitJob } from '../simulation/submitJob.js';
import type { ActionHandler } from './ActionHandler.js';
import type { ScenarioAction } from './ScenarioAction.js';
import type { SubmissionKind } from './SubmissionKind.js';

const createSubmitHandler =
  (
    build: (action: ScenarioAction, now: number) => Parameters<typeof submitJob>[2],
  ): ActionHandler =>
  (scenario, action) => {
    const id = `${scenario.requestIdsByJob.size + 1}`;
    const vm = action.target % scenario.platform.vms.length;
    if (!scenario.platform.vms[vm]!.up) return;
    const job = build(action, scenario.platform.now);
    const requestId = submitJob(scenario.platform, id, { vm, ...job });
    scenario.requestIdsByJob.set(id, [requestId]);
    // A caller that does not know the outcome after its deadline of 3 s submits the job again at another VM.
    scheduleAfter(scenario.platform, 3200, () => {
      const answer = scenario.platform.answers.get(requestId);
      const outcomeUnknown =
        answer === undefined || (answer.type === 'refused' && answer.reason === 'store-unanswered');
      const otherVm = (vm + 1) % scenario.platform.vms.length;
      if (!outcomeUnknown || !scenario.platform.vms[otherVm]!.up) return;
      scenario.requestIdsByJob
        .get(id)!
        .push(submitJob(scenario.platform, id, { vm: otherVm, ...job }));
    });
  };

/** Handlers of the steps that submit a job. */
export const submissionHandlers: Record<SubmissionKind, ActionHandler> = {
  submit: createSubmitHandler(({ durationMs }) => ({
    runMs: 300 + durationMs,
    steps: [{ count: 3 }],
  })),
  submitGang: createSubmitHandler(({ target, durationMs }) => ({
    queue: target % 2 === 0 ? 'u' : 'b',
    runMs: 300 + durationMs,
    steps: [{ count: 2, gang: true, sameRack: target % 3 === 0 }],
    gpu: 1 + (target % 4),
  })),
  submitSteps: createSubmitHandler(({ durationMs }) => ({
    runMs: 200 + Math.floor(durationMs / 2),
    steps: [{ count: 2 }, { count: 2, after: [0] }],
  })),
  submitScheduled: createSubmitHandler(({ target, durationMs }, now) => ({
    runMs: 200,
    steps: [{ count: 2 }, { count: 1, after: [0] }],
    schedule: {
      count: 3,
      startAt: simulationStartMs + now + target * 100,
      intervalMs: 200 + durationMs / 4,
    },
  })),
  submitCheckpointing: createSubmitHandler(({ durationMs }) => ({
    runMs: 500 + 2 * durationMs,
    gpu: 4,
    steps: [{ count: 3, checkpointing: true }],
  })),
  submitSpread: createSubmitHandler(({ target, durationMs }) => ({
    runMs: 300 + durationMs,
    steps: [{ count: 5, maxPerWorker: 1 + (target % 2) }],
  })),
  submitLabelled: createSubmitHandler(({ durationMs }) => ({
    runMs: 300 + durationMs,
    steps: [{ count: 3, requiredLabel: 'r1' }],
  })),
  // Outlasts a calm stretch in which a stop has to take effect.
  submitLong: createSubmitHandler(({ durationMs }) => ({
    runMs: 6000 + 2 * durationMs,
    steps: [{ count: 4 }],
  })),
  // These have more tasks than fit into a record of a store with small limits.
  submitMany: createSubmitHandler(({ target, durationMs }) => ({
    gpu: 0,
    runMs: 300 + durationMs,
    steps: [
      { count: 40, checkpointing: target % 2 === 0 },
      { count: 10, after: [0] },
    ],
  })),
  submitManyGang: createSubmitHandler(({ durationMs }) => ({
    gpu: 0,
    runMs: 300 + durationMs,
    steps: [{ count: 40, gang: true, checkpointing: true }, { count: 5 }],
  })),
  submitManyScheduled: createSubmitHandler(({ target, durationMs }, now) => ({
    gpu: 0,
    runMs: 200,
    steps: [{ count: 30 }, { count: 5, after: [0] }],
    schedule: {
      count: 3,
      startAt: simulationStartMs + now + target * 100,
      intervalMs: 200 + durationMs / 4,
    },
  })),
  // Either ends repeatedly and has to be restarted, or outlives the scenario.
  submitLongRunning: createSubmitHandler(({ target, durationMs }) => ({
    runMs: target % 2 === 0 ? 1000 + durationMs : 600_000,
    steps: [{ count: 2, longRunning: true }],
  })),
};
